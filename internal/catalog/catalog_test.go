package catalog

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against a route that isn't the one with the longest matching prefix of its host.
func TestLongestPrefixOfTheHostWins(t *testing.T) {
	c := New()
	c.SetConfiguration(Configuration{Version: 1, Routes: []Route{
		{Name: "short", Host: "h", PathPrefix: "/a/"}, {Name: "long", Host: "H", PathPrefix: "/a/b/"}, {Name: "other", Host: "o", PathPrefix: "/a/b/c/"},
	}}, Revision{Number: 1})
	for path, want := range map[string]string{"/a/": "short", "/a/b": "short", "/a/b/": "long", "/a/b/c/d": "long", "/b/": ""} {
		got := ""
		if r := c.View().Route("h", path); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("%s goes to %q, want %q", path, got, want)
		}
	}
}

// Guards against a registration time that is reset by each list, which would keep an
// upstream cold for ever.
func TestUnchangedRegistrationKeepsItsTime(t *testing.T) {
	c := New()
	u := Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", ColdFor: time.Hour}
	c.SetUpstream(u, Revision{Number: 1})
	seen := c.View().Upstreams("s")[0].Seen()
	time.Sleep(time.Millisecond)
	c.ReplaceUpstreams([]Upstream{u}, Revision{Number: 2})
	if m := c.View().Upstreams("s")[0]; !m.Seen().Equal(seen) || !m.IsCold(time.Now()) {
		t.Errorf("the registration time is %v, at first it was %v", m.Seen(), seen)
	}
	u.ColdFor = 0
	c.SetUpstream(u, Revision{Number: 3})
	if m := c.View().Upstreams("s")[0]; m.Seen().Equal(seen) || m.IsCold(time.Now()) {
		t.Error("a changed registration keeps its time")
	}
}

// Guards against a catalog that doesn't end at the newest state if the store repeats old
// changes after a list of another gateway, or if an older configuration arrives.
func TestStatefulCatalog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := New()
		type change struct {
			revision uint64
			draining bool
			removed  bool
		}
		var history []change
		version, highest := int64(0), int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"change": func(t *rapid.T) {
				h := change{revision: uint64(len(history) + 1), draining: rapid.Bool().Draw(t, "draining"), removed: rapid.Bool().Draw(t, "removed")}
				history = append(history, h)
				if h.removed {
					c.RemoveUpstream("u", Revision{Number: h.revision})
					return
				}
				c.SetUpstream(Upstream{ID: "u", Service: "s", Draining: h.draining}, Revision{Number: h.revision})
			},
			"list of another gateway": func(*rapid.T) {
				if len(history) == 0 {
					return
				}
				h := history[len(history)-1]
				var list []Upstream
				if !h.removed {
					list = []Upstream{{ID: "u", Service: "s", Draining: h.draining}}
				}
				c.ReplaceUpstreams(list, Revision{Number: h.revision})
				// After that, the store repeats all changes.
				for _, old := range history {
					if old.removed {
						c.RemoveUpstream("u", Revision{Number: old.revision})
					} else {
						c.SetUpstream(Upstream{ID: "u", Service: "s", Draining: old.draining}, Revision{Number: old.revision})
					}
				}
			},
			"configuration": func(t *rapid.T) {
				version = rapid.Int64Range(1, 50).Draw(t, "version")
				highest = max(highest, version)
				c.SetConfiguration(Configuration{Version: version}, Revision{Number: uint64(version)})
			},
			"": func(t *rapid.T) {
				if v := c.View().Version(); v != highest {
					t.Fatalf("version %d after version %d", v, highest)
				}
				if len(history) == 0 {
					return
				}
				h := history[len(history)-1]
				if open := len(c.View().Upstreams("s")) == 1; open == (h.removed || h.draining) {
					t.Fatalf("the upstream may get work: %v, but the newest change is %+v", open, h)
				}
			},
		})
	})
}

// Guards against one view for each change of an upstream when the store reports many: a view
// costs by the number of upstreams. The load pattern is the restart of all upstreams of a fleet.
func TestChangesOfOneReplyAreOneView(t *testing.T) {
	c := New()
	views := 0
	c.OnChange(func(*View) { views++ })
	const upstreams = 900
	upstream := func(i int) Upstream {
		return Upstream{ID: fmt.Sprint("i-", i), Service: "a", Address: fmt.Sprint("10.0.0.1:", i)}
	}
	number := uint64(1)
	change := func() {
		c.ChangeUpstreams(func() {
			for i := range upstreams {
				number++
				u := upstream(i)
				u.Revision = number
				c.SetUpstream(u, Revision{Epoch: 1, Number: number})
			}
		})
	}
	if change(); views != 1 || len(c.View().Upstreams("a")) != upstreams {
		t.Fatalf("%d views, the last one with %d upstreams", views, len(c.View().Upstreams("a")))
	}
	if change(); views != 1 {
		t.Errorf("%d views after registrations were written again as they were", views)
	}
	c.ChangeUpstreams(func() {
		c.RemoveUpstream("i-0", Revision{Epoch: 1, Number: number + 1})
		c.SetConfiguration(Configuration{Version: 1}, Revision{Epoch: 1, Number: number + 2})
		if c.View().Version() != 1 {
			t.Error("a configuration waits for the changes of upstreams")
		}
	})
	if c.View().Upstream("i-0") != nil || c.Revisions().Upstreams != number+1 {
		t.Errorf("the removed upstream is still there, or the revision is %d", c.Revisions().Upstreams)
	}
}
