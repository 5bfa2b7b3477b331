package catalogcheck

import (
	"strings"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

// sound returns a configuration without findings: a stream behind two stages, and a public route
// below its prefix.
func sound() catalog.Configuration {
	return catalog.Configuration{
		Version: 7,
		Routes: []catalog.Route{
			{
				Name: "chat", Host: "a.example", PathPrefix: "/chat/", Kind: catalog.KindStreaming, Timeout: 6 * time.Second, Objective: 2 * time.Second,
				GapObjective: 250 * time.Millisecond, Attempts: 2, Resumable: true, Targets: []catalog.Target{{Service: "model", Weight: 9}, {Service: "other", Weight: 1}},
				Stages: []catalog.Stage{{Service: "encode", ResultBytes: 1000}, {Service: "encode", After: []int{0}, ResultBytes: 1000}},
			},
			{Name: "help", Host: "A.example", PathPrefix: "/chat/help/", Timeout: time.Second, Objective: time.Second, Attempts: 1, Public: true, Targets: []catalog.Target{{Service: "other", Weight: 1}}},
		},
		Services: []catalog.Service{
			{Name: "model", MaxConnections: 40, Engine: &catalog.Engine{Slots: 8, CapacityTokens: 9000}},
			{Name: "other", MaxConnections: 40},
			{Name: "encode", Batch: &catalog.Batch{Slots: 1, Queue: 2, Size: 4, CallTime: 200 * time.Millisecond, PieceTime: 20 * time.Millisecond, ResultCapacityBytes: 4000, ResultTTL: 4 * time.Second}},
		},
		Organisations: []catalog.Organisation{{Name: "o1", Keys: []string{"secret-1", "secret-2"}}, {Name: "o2", Keys: []string{"secret-3"}}},
		Limits:        catalog.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
}

// Guards against a fault that is overlooked, is reported elsewhere or with another severity, or
// brings further findings with it. Each case breaks the sound configuration once.
func TestCheckFindsEachFault(t *testing.T) {
	type cfg = catalog.Configuration
	cases := []struct {
		name   string
		change func(c *cfg)
		want   string
	}{
		{"sound", func(*cfg) {}, ""},
		{"no routes", func(c *cfg) { c.Routes, c.Services = nil, c.Services[:0] }, "error withoutRoutes routes, error withoutServices services"},
		{"same host in other case and prefix", func(c *cfg) { c.Routes[1].PathPrefix = "/chat/" }, "error hiddenRoute routes[1]"},
		{"no host", func(c *cfg) { c.Routes[0].Host = "" }, "error host routes[0].host"},
		{"host with a port", func(c *cfg) { c.Routes[0].Host = "a.example:80" }, "error host routes[0].host"},
		{"host with a scheme", func(c *cfg) { c.Routes[0].Host = "http://a.example" }, "error host routes[0].host"},
		{"prefix without its first slash", func(c *cfg) { c.Routes[0].PathPrefix = "chat/" }, "error pathPrefix routes[0].pathPrefix"},
		{"prefix without its last slash", func(c *cfg) { c.Routes[0].PathPrefix = "/chat" }, "warning pathPrefix routes[0].pathPrefix"},
		{"two routes of a name", func(c *cfg) { c.Routes[1].Name = "chat" }, "warning duplicateName routes[1].name"},
		{"no key", func(c *cfg) { c.Organisations = []catalog.Organisation{{Name: "o1"}} }, "error unreachable routes[0].public, warning noKeys organisations[0].keys"},
		{"no organisation", func(c *cfg) { c.Organisations = nil }, ""},
		{"weight of 0", func(c *cfg) { c.Routes[0].Targets[1].Weight = 0 }, "warning weight routes[0].targets[1].weight"},
		{"negative weight", func(c *cfg) { c.Routes[0].Targets[1].Weight = -1 }, "error weight routes[0].targets[1].weight"},
		{"no weight", func(c *cfg) { c.Routes[1].Targets[0].Weight = 0 }, "error weight routes[1].targets, warning weight routes[1].targets[0].weight"},
		{"unknown service", func(c *cfg) { c.Routes[1].Targets[0].Service = "gone" }, "error unknownService routes[1].service"},
		{"unknown service of several", func(c *cfg) { c.Routes[0].Targets[1].Service = "gone" }, "error unknownService routes[0].targets[1].service"},
		{"unknown service of a split into one", func(c *cfg) { c.Routes[1].Targets[0] = catalog.Target{Service: "gone", Weight: 100} }, "error unknownService routes[1].targets[0].service"},
		{"objective over the time-out", func(c *cfg) { c.Routes[1].Objective = 2 * time.Second }, "warning objective routes[1].objective"},
		{"no time-out", func(c *cfg) { c.Routes[1].Timeout = 0 }, "warning limit routes[1].timeout"},
		{"negative time-out", func(c *cfg) { c.Routes[1].Timeout = -1 }, "error negative routes[1].timeout"},
		{"negative objective", func(c *cfg) { c.Routes[1].Objective = -1 }, "error negative routes[1].objective"},
		{"negative attempts", func(c *cfg) { c.Routes[1].Attempts = -1 }, "error negative routes[1].attempts"},
		{"stream without gap objective", func(c *cfg) { c.Routes[0].GapObjective = 0 }, "warning gapObjective routes[0].gapObjective"},
		{"attempts of an unsafe route", func(c *cfg) { c.Routes[1].Attempts = 2 }, "warning attempts routes[1].attempts"},
		{"attempts of a stream that can't be resumed", func(c *cfg) { c.Routes[0].Resumable = false }, "warning attempts routes[0].attempts"},
		{"attempts of a safe route", func(c *cfg) { c.Routes[1].Kind, c.Routes[1].Attempts = catalog.KindSafe, 2 }, ""},
		{"stage of an unknown service", func(c *cfg) { c.Routes[0].Stages[1].Service = "gone" }, "error unknownService routes[0].stages[1].service"},
		{"stage of a service without pieces", func(c *cfg) { c.Routes[0].Stages[1].Service = "other" }, "error withoutPieces routes[0].stages[1].service"},
		{"stage after itself", func(c *cfg) { c.Routes[0].Stages[1].After = []int{0, 1} }, "error stageOrder routes[0].stages[1].after[1]"},
		{"stages in a cycle", func(c *cfg) { c.Routes[0].Stages[0].After = []int{1} }, "error stageOrder routes[0].stages[0].after[0]"},
		{"stage after an unknown one", func(c *cfg) { c.Routes[0].Stages[1].After = []int{-1} }, "error stageOrder routes[0].stages[1].after[0]"},
		{"a stage over the time-out", func(c *cfg) { c.Services[2].Batch.CallTime = 6 * time.Second }, "error stageTime routes[0].stages[0], error stageTime routes[0].stages[1]"},
		{"stages over the time-out", func(c *cfg) { c.Services[2].Batch.CallTime = 4 * time.Second }, "error stageTime routes[0].timeout"},
		{"stages over the objective", func(c *cfg) { c.Services[2].Batch.CallTime = time.Second }, "warning stageTime routes[0].objective"},
		{"stages beside each other", func(c *cfg) { c.Services[2].Batch.CallTime, c.Routes[0].Stages[1].After = time.Second, nil }, ""},
		{"no room for a result", func(c *cfg) { c.Routes[0].Stages[1].ResultBytes = 4001 }, "error resultCapacity routes[0].stages[1].resultBytes"},
		{"no room for the results of a call", func(c *cfg) { c.Routes[0].Stages[1].ResultBytes = 1001 }, "warning resultCapacity routes[0].stages[1].resultBytes"},
		{"room without a bound", func(c *cfg) { c.Services[2].Batch.ResultCapacityBytes = 0 }, ""},
		{"negative results", func(c *cfg) { c.Routes[0].Stages[1].ResultBytes = -1 }, "error negative routes[0].stages[1].resultBytes"},
		{"calls without pieces", func(c *cfg) { c.Services[2].Batch.Size = 0 }, "error batchCapacity services[2].batch"},
		{"negative connections", func(c *cfg) { c.Services[1].MaxConnections = -1 }, "error negative services[1].maxConnections"},
		{"two services of a name", func(c *cfg) { c.Services = append(c.Services, c.Services[1]) }, "error duplicateName services[3].name"},
		{"service without routes, as a spare", func(c *cfg) { c.Services = append(c.Services, catalog.Service{Name: "idle"}) }, ""},
		{"key of two organisations", func(c *cfg) { c.Organisations[1].Keys = []string{"secret-2"} }, "error duplicateKey organisations[1].keys[0]"},
		{"empty key", func(c *cfg) { c.Organisations[1].Keys[0] = "" }, "error emptyKey organisations[1].keys[0]"},
		{"two organisations of a name", func(c *cfg) { c.Organisations[1].Name = "o1" }, "warning duplicateName organisations[1].name"},
		{"no body limit", func(c *cfg) { c.Limits.BodyBytes = 0 }, "warning limit limits.bodyBytes"},
		{"negative idle time-out", func(c *cfg) { c.Limits.IdleTimeout = -1 }, "error negative limits.idleTimeout"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cfg := sound()
			c.change(&cfg)
			var got []string
			for _, f := range Check(&cfg) {
				got = append(got, strings.Join([]string{string(f.Severity), string(f.Rule), f.Path}, " "))
				if strings.Contains(f.Reason+f.Subject, "secret") {
					t.Errorf("%q of %s shows a key", f.Reason, f.Subject)
				}
			}
			if text := strings.Join(got, ", "); text != c.want {
				t.Errorf("found %q, want %q", text, c.want)
			}
		})
	}
}
