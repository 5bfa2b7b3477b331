package jsonlist

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
)

// Guards against an element that hides its neighbours because it is nested deeper than
// encoding/json reads, has a number that no type holds, or isn't JSON.
func TestElementsStandAlone(t *testing.T) {
	for name, odd := range map[string]string{
		"deep":                strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000),
		"large number":        "1e999",
		"no JSON":             "\xff",
		"open object":         `{"a":{`,
		"open list":           "[1,",
		"open list of one":    "[0",
		"open lists":          "[[[0",
		"list of objects":     `[{"b":0`,
		"open string":         `"`,
		"escape":              `"\`,
		"closed twice":        "1}}]",
		"end of the list":     `1}],"other":[{"a":1`,
		"other list":          `1}],"other":{"a":[{"b":1`,
		"nothing":             "",
		"begin of an element": `{"name":`,
	} {
		for _, form := range []string{`{"items":[{"name":"a"},{"name":"odd","v":%s},{"name":"b"}],"rev":7}`, `{"items":[{"name":"a"},%s,{"name":"b"}],"rev":7}`, `{"items":[{"name":"a"},{"name":"b"},{"name":"odd","v":%s}],"rev":7}`} {
			elements, others, err := Split([]byte(fmt.Sprintf(form, odd)), "items", "name")
			if err != nil || string(others["rev"]) != "7" {
				t.Errorf("%s in %s: %v", name, form, err)
			}
			var names []string
			for _, e := range elements {
				if n := string(Members(e)["name"]); n == `"a"` || n == `"b"` {
					names = append(names, n)
				}
			}
			if fmt.Sprint(names) != `["a" "b"]` {
				t.Errorf("%s in %s: found %v", name, form, names)
			}
		}
	}
}

// Guards against odd elements that hide the others because there are many of them, and against a search
// for their ends that takes for ever.
func TestManyOddElementsHideNoOther(t *testing.T) {
	for name, odd := range map[string]string{
		"no JSON":      `{"name":"odd","v":service=batch;address=127.0.0.9:9000},`,
		"open list":    `{"name":"odd","v":[0},`,
		"open lists":   `{"name":[0,`,
		"open object":  `{"name":"odd","v":{},`,
		"open string":  `{"name":"odd","v":"},`,
		"no value":     `{"name":,`,
		"large number": `{"name":1e999},`,
	} {
		for _, n := range []int{40, 500, 50_000} {
			text := `{"items":[{"name":"a"},` + strings.Repeat(odd, n) + `{"name":"b"}],"rev":7}`
			elements, others, err := Split([]byte(text), "items", "name")
			if err != nil || string(others["rev"]) != "7" {
				t.Errorf("%d times %s: %v", n, name, err)
				continue
			}
			if last := elements[len(elements)-1]; string(elements[0]) != `{"name":"a"}` || string(last) != `{"name":"b"}` {
				t.Errorf("%d times %s: first %.40q, last %.40q of %d", n, name, elements[0], last, len(elements))
			}
		}
	}
}

// Guards against a text that was broken off and is split as if it were whole.
func TestTextsThatAreNoListsAreErrors(t *testing.T) {
	whole := `{"items":[{"name":"a","v":[1]},{"name":"b","v":{"c":[2]}}],"rev":7}`
	for n := range len(whole) {
		if elements, _, err := Split([]byte(whole[:n]), "items", "name"); err == nil {
			t.Errorf("%q was split into %q", whole[:n], elements)
		}
	}
	for _, text := range []string{"", "7", "[]", "{}", `{"rev":7}`, `{"items":7}`, `{"items":[]}}`} {
		if elements, _, err := Split([]byte(text), "items", "name"); err == nil {
			t.Errorf("%.40q was split into %d elements", text, len(elements))
		}
	}
	if elements, others, err := Split([]byte(` { "rev" : 7 , "items" : [ ] } `), "items"); err != nil || len(elements) != 0 || string(others["rev"]) != "7" {
		t.Errorf("got %q, %v, %v", elements, others, err)
	}
}

// FuzzSplit splits a list of objects as encoding/json does.
func FuzzSplit(f *testing.F) {
	f.Add([]byte(`{"items":[1,{"a":[]}],"rev":7}`))
	f.Add([]byte(`{"rev":{},"items":[],"items":["]"]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		elements, _, err := Split(b, "items", "a")
		_ = Members(b)
		var want struct {
			Items []json.RawMessage `json:"items"`
		}
		if json.Unmarshal(b, &want) != nil || strings.Count(strings.ToLower(string(b)), "item")+strings.Count(string(b), `\`) != 1 {
			return
		}
		if slices.ContainsFunc(want.Items, func(e json.RawMessage) bool { return e[0] != '{' }) {
			return
		}
		if want.Items != nil && (err != nil || fmt.Sprintf("%q", elements) != fmt.Sprintf("%q", want.Items)) {
			t.Errorf("%q: got %q, %v, want %q", b, elements, err, want.Items)
		}
	})
}
