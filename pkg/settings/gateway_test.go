package settings

import (
	"os"
	"strings"
	"testing"
	"time"
)

const gatewayFile = `// A gateway of the repair desk.
{
  "role": "gateway",
  "name": "front-houston-a-1",
  "failureDomain": "houston-a",
  "callerListen": "10.1.0.41:8625",
  "readyListen": "10.1.0.41:8621",
  "peerListen": "10.1.0.41:7740",
  "metricsListen": "10.1.0.41:9464",
  "platform": {"address": "10.200.1.7:8624"},
  "shutdown": {"graceMs": 8000},
  "memory": {"limitMB": 284},
}
`

// Guards against values stored in a wrong unit, and against treating the variable with the
// path of the settings file as a setting.
func TestGatewaySettings(t *testing.T) {
	g, err := NewGateway(Input{Content: []byte(gatewayFile), Environ: []string{FileVariable + "=/etc/node.json", "BERGAMOTRUDDER_SHUTDOWN_DRAIN_MS=1500"}})
	if err != nil {
		t.Fatal(err)
	}
	if g.Name() != "front-houston-a-1" || g.GracePeriod() != 8*time.Second || g.DrainDelay() != 1500*time.Millisecond || g.MemoryBytes() != 284<<20 || g.PeerListen().Port() != 7740 || g.LogLevel() != "info" {
		t.Errorf("got %+v", g)
	}
}

// Guards against a short grace period that leaves no time for requests in progress, or
// that is rejected as invalid.
func TestDrainLeavesTimeForRequestsInProgress(t *testing.T) {
	g, err := NewGateway(Input{Content: []byte(strings.Replace(gatewayFile, "8000", "1500", 1))})
	if err != nil {
		t.Fatal(err)
	}
	if g.DrainDelay() != 500*time.Millisecond {
		t.Errorf("new requests are accepted for %v of %v, want a third", g.DrainDelay(), g.GracePeriod())
	}
}

// Guards against faults in a gateway's settings that are reported one at a time, or only
// after the process has started.
func TestGatewayFaultsAreReportedWithTheirPosition(t *testing.T) {
	content := strings.NewReplacer(`"10.1.0.41:8621"`, `"10.1.0.41:8625"`, `"graceMs": 8000`, `"graceMs": 2000, "graceSeconds": 2, "drainMs": 2000`, `"limitMB": 284`, `"limitMb": 284`, `"10.1.0.41:7740"`, `"0.0.0.0:7740"`).Replace(gatewayFile)
	_, err := NewGateway(Input{File: "gateway.json", Content: []byte(content)})
	lines := strings.Join(faultsOf(t, err), "\n")
	for _, want := range []string{
		"gateway.json:7: readyListen: is 10.1.0.41:8625, which overlaps with callerListen",
		`gateway.json:8: peerListen: is "0.0.0.0:7740", which others can't connect to`,
		"gateway.json:12: memory.limitMb: is no known setting, perhaps memory.limitMB is meant",
		"shutdown.graceSeconds: is also set as shutdown.graceMs",
		"shutdown.drainMs: must be shorter than shutdown.graceMs",
	} {
		if !strings.Contains(lines, want) {
			t.Errorf("missing fault %q in\n%s", want, lines)
		}
	}
}

// Guards against a deployment template whose output is not a valid settings file, also with a grace
// period that has a fraction.
func TestDeployTemplateIsValid(t *testing.T) {
	b, err := os.ReadFile("../../deploy/gateway.json.template")
	if err != nil {
		t.Fatal(err)
	}
	for graceS, want := range map[string]time.Duration{"8": 8 * time.Second, "7.5": 7500 * time.Millisecond} {
		if g := renderTemplate(t, string(b), graceS, ""); g.GracePeriod() != want {
			t.Errorf("got a grace period of %v for %s s", g.GracePeriod(), graceS)
		}
	}
	// A deployment without roll-outs has no share, which leaves the variable empty.
	for share, want := range map[string]float64{"": 0, "0.1": 0.1} {
		if g := renderTemplate(t, string(b), "8", share); g.ExposureShare() != want {
			t.Errorf("the share of a version on trial is %v, want %v", g.ExposureShare(), want)
		}
	}
}

// renderTemplate returns the settings that the platform makes of the template, with the variables of
// deploy/system.toml.
func renderTemplate(t *testing.T, template, graceS, share string) *Gateway {
	t.Helper()
	rendered := strings.NewReplacer(
		"{{node|json}}", `"front-a-1"`, "{{zone|json}}", `"a"`, "{{listen.front|json}}", `"10.1.0.41:8625"`, "{{listen.ready|json}}", `"10.1.0.41:8621"`,
		"{{ip}}", "10.1.0.41", "{{internalPorts.0}}", "7740", "{{platform.address|json}}", `"10.200.1.7:8624"`, "{{bounds.graceS}}", graceS, "{{limits.memoryMb}}", "284",
	).Replace(template)
	if strings.Contains(rendered, "{{") {
		t.Errorf("the test has no value for a placeholder of the template:\n%s", rendered)
	}
	g, err := NewGateway(Input{Content: []byte(rendered), Environ: []string{
		"BERGAMOTRUDDER_DESCRIPTORS_LIMIT=4100", "BERGAMOTRUDDER_PROCESSOR_SHARE=0.304", "BERGAMOTRUDDER_PROCESSOR_CORES=1", "BERGAMOTRUDDER_NETWORK_LINK_MBPS=25.0",
		"BERGAMOTRUDDER_ROLLOUTS_EXPOSURE_SHARE=" + share, "BERGAMOTRUDDER_ROLLOUTS_EXPOSURE_SLACK=",
	}})
	if err != nil {
		t.Fatal(err)
	}
	if g.Cores() != 0.304 || g.LinkMbps() != 25 {
		t.Errorf("%g cores and %g Mbit/s", g.Cores(), g.LinkMbps())
	}
	if g.Descriptors() != 4100 {
		t.Errorf("got a limit of %d descriptors from the environment", g.Descriptors())
	}
	return g
}
