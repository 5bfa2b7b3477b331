package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// field describes one setting and the variable that receives its value.
type field struct {
	// name is the path in the file; the path element * represents a pipeline's name.
	name string
	// target is the variable for the value: *string, *int, *float64, *time.Duration in
	// seconds, *netip.AddrPort, *[]netip.AddrPort or *map[string]int.
	target any
	// unit is the unit shown in the table.
	unit string
	// low and high are the inclusive range of numbers; high is also the maximum length of lists.
	low, high float64
	// choices are the allowed strings; empty means that any string is allowed.
	choices []string
	// label requires the syntax of item names.
	label bool
	// listen also allows unspecified addresses and port 0.
	listen   bool
	required bool
	// def is the default value, in the format of environment variables.
	def  string
	help string
}

// kind is the JSON type of a value.
type kind int

const (
	kindText kind = iota
	kindNumber
	kindList
	kindOther
)

// raw is a value before validation.
type raw struct {
	kind kind
	// text is the unquoted string or the number literal.
	text string
	// items are the elements of a list.
	items []raw
	// untyped marks values of environment variables, flags and defaults, which have no JSON type.
	untyped bool
}

var labelPattern = regexp.MustCompile(`^[a-z0-9]([-a-z0-9]*[a-z0-9])?$`)

// variable returns the name of the setting's environment variable, or empty if it has none.
func (f *field) variable() string {
	if strings.Contains(f.name, "*") {
		return ""
	}
	var b strings.Builder
	b.WriteString(variablePrefix)
	for _, c := range f.name {
		switch {
		case c == '.':
			b.WriteByte('_')
		case c >= 'A' && c <= 'Z':
			b.WriteByte('_')
			b.WriteRune(c)
		default:
			b.WriteString(strings.ToUpper(string(c)))
		}
	}
	return b.String()
}

// match returns the path element in place of *, if any, and whether the path names the field.
func (f *field) match(path string) (string, bool) {
	if f.name == path {
		return "", !strings.Contains(path, "*")
	}
	before, after, ok := strings.Cut(f.name, "*")
	if !ok || !strings.HasPrefix(path, before) || !strings.HasSuffix(path, after) || len(path) <= len(before)+len(after) {
		return "", false
	}
	key := path[len(before) : len(path)-len(after)]
	return key, isLabel(key)
}

// isParent reports whether the path is that of an object that contains the field.
func (f *field) isParent(path string) bool {
	want, have := strings.Split(f.name, "."), strings.Split(path, ".")
	if len(have) >= len(want) {
		return false
	}
	for i, part := range have {
		if want[i] != part && (want[i] != "*" || !isLabel(part)) {
			return false
		}
	}
	return true
}

// set validates the value and stores it in the target. key is the path element in place of *.
func (f *field) set(key string, v raw) error {
	switch target := f.target.(type) {
	case *string:
		return f.setText(target, v)
	case *int:
		return f.setInt(target, v)
	case *float64:
		return f.setFloat(target, v)
	case *time.Duration:
		return f.setSeconds(target, v)
	case *netip.AddrPort:
		return f.setAddress(target, v)
	case *[]netip.AddrPort:
		return f.setAddresses(target, v)
	case *map[string]int:
		var n int
		if err := f.setInt(&n, v); err != nil {
			return err
		}
		(*target)[key] = n
		return nil
	}
	return errors.Errorf("has the unsupported target %T", f.target)
}

func (f *field) setText(to *string, v raw) error {
	if v.kind != kindText && !v.untyped {
		return errors.Errorf("must be text, allowed are %s", f.allowed())
	}
	if v.text == "" || (f.label && !isLabel(v.text)) || (len(f.choices) > 0 && !slices.Contains(f.choices, v.text)) {
		return errors.Errorf("is %q, allowed are %s", v.text, f.allowed())
	}
	*to = v.text
	return nil
}

func (f *field) setInt(to *int, v raw) error {
	if v.kind != kindNumber && !v.untyped {
		return errors.Errorf("must be a whole number, allowed are %s", f.allowed())
	}
	n, err := strconv.ParseInt(v.text, 10, 64)
	if err != nil {
		return errors.Errorf("is %s, which is no whole number within the allowed %s", v.text, f.allowed())
	}
	if float64(n) < f.low || float64(n) > f.high {
		return errors.Errorf("is %d, allowed are %s", n, f.allowed())
	}
	*to = int(n)
	return nil
}

func (f *field) setFloat(to *float64, v raw) error {
	if v.kind != kindNumber && !v.untyped {
		return errors.Errorf("must be a number, allowed are %s", f.allowed())
	}
	n, err := strconv.ParseFloat(v.text, 64)
	if err != nil {
		return errors.Errorf("is %s, which is no number within the allowed %s", v.text, f.allowed())
	}
	if !(n >= f.low && n <= f.high) {
		return errors.Errorf("is %s, allowed are %s", v.text, f.allowed())
	}
	*to = n
	return nil
}

func (f *field) setSeconds(to *time.Duration, v raw) error {
	var n int
	if err := f.setInt(&n, v); err != nil {
		return err
	}
	*to = time.Duration(n) * time.Second
	return nil
}

func (f *field) setAddress(to *netip.AddrPort, v raw) error {
	if v.kind != kindText && !v.untyped {
		return errors.Errorf("must be text, allowed are %s", f.allowed())
	}
	a, err := netip.ParseAddrPort(v.text)
	if err != nil {
		return errors.Errorf("is %q, allowed are %s", v.text, f.allowed())
	}
	if !f.listen && (a.Port() == 0 || a.Addr().IsUnspecified()) {
		return errors.Errorf("is %q, which others can't connect to; allowed are %s", v.text, f.allowed())
	}
	*to = a
	return nil
}

func (f *field) setAddresses(to *[]netip.AddrPort, v raw) error {
	if v.untyped {
		v = splitList(v.text)
	}
	if v.kind != kindList {
		return errors.Errorf("must be a list, allowed are %s", f.allowed())
	}
	if len(v.items) > int(f.high) {
		return errors.Errorf("has %d items, allowed are %s", len(v.items), f.allowed())
	}
	list := make([]netip.AddrPort, len(v.items))
	for i, item := range v.items {
		if err := f.setAddress(&list[i], item); err != nil {
			return errors.Errorf("item %d %v", i+1, err)
		}
	}
	*to = list
	return nil
}

func splitList(text string) raw {
	list := raw{kind: kindList}
	if strings.TrimSpace(text) == "" {
		return list
	}
	for _, part := range strings.Split(text, ",") {
		list.items = append(list.items, raw{kind: kindText, text: strings.TrimSpace(part)})
	}
	return list
}

// allowed describes the allowed values, for messages and the table.
func (f *field) allowed() string {
	switch f.target.(type) {
	case *netip.AddrPort:
		if f.listen {
			return "an IP number with a port of 0 to 65535"
		}
		return "an IP number with a port of 1 to 65535"
	case *[]netip.AddrPort:
		return fmt.Sprintf("up to %s IP numbers with a port of 1 to 65535", number(f.high))
	case *string:
		return f.allowedText()
	}
	return strings.TrimSpace(number(f.low) + " to " + number(f.high) + " " + f.unit)
}

func (f *field) allowedText() string {
	if len(f.choices) > 0 {
		return strings.Join(f.choices, ", ")
	}
	if f.label {
		return fmt.Sprintf("1 to %d lower-case letters, digits and hyphens", fleet.MaxNameLength)
	}
	return "any text"
}

func number(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

func isLabel(s string) bool { return len(s) <= fleet.MaxNameLength && labelPattern.MatchString(s) }
