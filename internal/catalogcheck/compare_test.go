package catalogcheck

import (
	"slices"
	"strings"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

// Guards against a difference that is overlooked, or told as one that callers notice more or less.
func TestCompareNamesWhatCallersNotice(t *testing.T) {
	type cfg = catalog.Configuration
	cases := []struct {
		name   string
		change func(c *cfg)
		want   string
	}{
		{"equal", func(*cfg) {}, ""},
		{"order only", func(c *cfg) { slices.Reverse(c.Routes); slices.Reverse(c.Services); slices.Reverse(c.Organisations) }, ""},
		{"route dropped", func(c *cfg) { c.Routes = c.Routes[1:] }, "routeDropped routes: its requests get 404"},
		{"route dropped under another", func(c *cfg) { c.Routes = c.Routes[:1] }, "routeDropped routes: its requests go to route chat (a.example/chat/)"},
		{"key dropped", func(c *cfg) { c.Organisations[0].Keys = []string{"secret-1"} }, "keyDropped organisations[0].keys: 1 of its 2 keys are gone; their callers get 401"},
		{"organisation dropped", func(c *cfg) { c.Organisations = c.Organisations[1:] }, "keyDropped organisations: 2 of its 2 keys are gone; their callers get 401, changed organisations: is gone"},
		{"key moved", func(c *cfg) {
			c.Organisations[0].Keys, c.Organisations[1].Keys = []string{"secret-1"}, []string{"secret-2", "secret-3"}
		}, "keyMoved organisations[0].keys: 1 of its 2 keys belong to another organisation now"},
		{"key added", func(c *cfg) { c.Organisations[1].Keys = append(c.Organisations[1].Keys, "secret-4") }, "added organisations[1].keys: 1 new keys"},
		{"no organisations", func(c *cfg) { c.Organisations = nil }, "changed organisations: requests need no key any more"},
		{"organisation's priority", func(c *cfg) { c.Organisations[1].HasPriority = true }, "changed organisations[1].priority: from that of the route to 0"},
		{"no longer public", func(c *cfg) { c.Routes[1].Public = false }, "accessClosed routes[1].public: needs a key now"},
		{"public", func(c *cfg) { c.Routes[0].Public = true }, "changed routes[0].public: needs no key any more"},
		{"route moved", func(c *cfg) { c.Routes[1].Targets[0].Service = "model" }, "routeMoved routes[1].service: from other to model"},
		{"shares", func(c *cfg) { c.Routes[0].Targets[1].Weight = 3 }, "changed routes[0].targets: from model 90%, other 10% to model 75%, other 25%"},
		{"service out of the split", func(c *cfg) { c.Routes[0].Targets[1].Weight = 0 }, "routeMoved routes[0].targets: from model 90%, other 10% to model 100%, other 0%"},
		{"time-out shortened", func(c *cfg) { c.Routes[0].Timeout = time.Second }, "timeoutShortened routes[0].timeout: from 6s to 1s"},
		{"time-out lifted", func(c *cfg) { c.Routes[0].Timeout = 0 }, "changed routes[0].timeout: from 6s to 0s"},
		{"idle time-out shortened", func(c *cfg) { c.Limits.IdleTimeout = time.Second }, "timeoutShortened limits.idleTimeout: from 15s to 1s"},
		{"attempts", func(c *cfg) { c.Routes[0].Attempts = 0 }, "limitLowered routes[0].attempts: from 2 to 1"},
		{"body limit", func(c *cfg) { c.Limits.BodyBytes = 1 }, "limitLowered limits.bodyBytes: from 4194304 to 1"},
		{"connections raised", func(c *cfg) { c.Services[0].MaxConnections++ }, "changed services[0].maxConnections: from 40 to 41"},
		{"engine", func(c *cfg) { c.Services[0].Engine.Slots-- }, "limitLowered services[0].engine.slots: from 8 to 7"},
		{"batch", func(c *cfg) { c.Services[2].Batch.Size-- }, "limitLowered services[2].batch.size: from 4 to 3"},
		{"no pieces", func(c *cfg) { c.Services[2].Batch = nil }, "changed services[2]: became a service for pieces of stages: false"},
		{"service dropped", func(c *cfg) { c.Services = c.Services[:2] }, "serviceDropped services: its upstreams get no more requests"},
		{"service added", func(c *cfg) { c.Services = append(c.Services, catalog.Service{Name: "new"}) }, "added services[3]: new service"},
		{"kind", func(c *cfg) { c.Routes[1].Kind = catalog.KindSafe }, "changed routes[1].kind: from unsafe to safe"},
		{"stages", func(c *cfg) { c.Routes[0].Stages = c.Routes[0].Stages[:1] }, "changed routes[0].stages: from [encode (after [], 1000 bytes), encode (after [0], 1000 bytes)] to [encode (after [], 1000 bytes)]"},
		{"route added below another", func(c *cfg) {
			c.Routes = append(c.Routes, catalog.Route{Name: "new", Host: "a.example", PathPrefix: "/chat/x/", Targets: []catalog.Target{{Service: "other", Weight: 1}}})
		}, "added routes[2]: served by other; takes its requests from route chat (a.example/chat/)"},
		{"hidden route added", func(c *cfg) { c.Routes = append(c.Routes, c.Routes[0]) }, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			current, next := sound(), sound()
			c.change(&next)
			if got := text(Compare(&current, &next)); got != c.want {
				t.Errorf("differs by %q, want %q", got, c.want)
			}
		})
	}
}

func text(changes []Change) string {
	var texts []string
	for _, c := range changes {
		texts = append(texts, string(c.Effect)+" "+c.Path+": "+c.Detail)
	}
	return strings.Join(texts, ", ")
}

// Guards against changes in the order of the file, in which a dropped route would stand behind
// many that nobody notices.
func TestCompareBeginsWithWhatCallersNoticeMost(t *testing.T) {
	current, next := sound(), sound()
	next.Limits.BodyBytes--
	next.Services[1].HealthPath = "/other"
	next.Organisations[0].Keys = []string{"secret-2", "secret-5"}
	next.Routes[0].Targets, next.Routes[0].Timeout = []catalog.Target{{Service: "model", Weight: 1}}, time.Second
	next.Routes = next.Routes[:1]
	var got []Effect
	for _, c := range Compare(&current, &next) {
		got = append(got, c.Effect)
	}
	want := []Effect{EffectRouteDropped, EffectKeyDropped, EffectRouteMoved, EffectTimeoutShortened, EffectLimitLowered, EffectChanged, EffectAdded}
	if !slices.Equal(got, want) {
		t.Errorf("the changes are %v, want %v", got, want)
	}
}

// Guards against a change that is sent under a version that gateways ignore.
func TestCheckSuccessorWantsAHigherVersion(t *testing.T) {
	for _, c := range []struct {
		version     int64
		changes, ok bool
	}{{8, true, true}, {7, false, true}, {7, true, false}, {6, false, false}} {
		current, next := sound(), sound()
		next.Version = c.version
		if c.changes {
			next.Limits.BodyBytes--
		}
		if got := CheckSuccessor(&current, &next); (len(got) == 0) != c.ok {
			t.Errorf("version %d after 7, changes %t: %v", c.version, c.changes, got)
		}
	}
}
