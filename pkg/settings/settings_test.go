package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

const entryFile = `// An entry of the repair desk.
{
  "role": "entry",
  "name": "entry-1",
  "failureDomain": "a",
  "peerListen": "10.0.0.1:7100",
  "secretEnv": "SECRET",
  "callerListen": "0.0.0.0:8080",
  "operatorListen": "10.0.0.1:8081",
  "operatorKeyEnv": "KEY",
  "platform": {
    "address": "10.0.0.9:6443",
    "namespace": "repair", // trailing comma
  },
  "admission": {"pipelines": {"diagnosis": {"maxInFlight": 8}}},
}
`

var environ = []string{"SECRET=0123456789abcdef", "KEY=fedcba9876543210"}

func faultsOf(t *testing.T, err error) []string {
	t.Helper()
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v, want an InvalidError", err)
	}
	var lines []string
	for _, f := range invalid.Faults {
		lines = append(lines, f.String())
	}
	return lines
}

// Guards against a wrong precedence of file, environment and flags.
func TestLaterSourcesOverrideEarlierOnes(t *testing.T) {
	e, err := NewEntry(Input{
		File:    "entry.json",
		Content: []byte(entryFile),
		Environ: append([]string{"BERGAMOTRUDDER_PLATFORM_RATES_CLAIMS=0.5", "BERGAMOTRUDDER_LOG_LEVEL=warn", "BERGAMOTRUDDER_SEED_PEERS=10.0.0.2:7100, [::1]:7100"}, environ...),
		Flags:   []string{"logLevel=debug", "drain.delaySeconds=0", "admission.pipelines.intake.maxQueued=3"},
	})
	if err != nil {
		t.Fatal(err)
	}
	if e.LogLevel() != "debug" || e.ClaimsRate().PerSecond() != 0.5 || e.DrainDelay() != 0 || e.DrainTimeout() != time.Minute {
		t.Errorf("got log level %s, rate %v, drain %v and %v", e.LogLevel(), e.ClaimsRate(), e.DrainDelay(), e.DrainTimeout())
	}
	if e.AdmissionInFlight("diagnosis") != 8 || e.AdmissionInFlight("intake") != 256 || e.AdmissionQueued("intake") != 3 {
		t.Error("the admission limits of a pipeline don't override the general ones")
	}
	if peers := e.SeedPeers(); len(peers) != 2 || peers[1].String() != "[::1]:7100" {
		t.Errorf("got seed peers %v", peers)
	}
	if s, err := e.Secret().Read(); err != nil || s != "0123456789abcdef" {
		t.Errorf("got secret %q, %v", s, err)
	}
}

// Guards against faults that are reported one at a time, without their position, or not at all.
func TestEveryFaultIsReportedWithItsPosition(t *testing.T) {
	content := `{
  "name": "Entry 1",
  "failureDomain": 7,
  "peerListen": "0.0.0.0:7100",
  "secretFile": "/nonexistent/secret",
  "secretEnv": "SECRET",
  "callerlisten": "localhost:80",
  "callerListen": "localhost:80",
  "operatorListen": "127.0.0.1:7100",
  "operatorKeyEnv": "KEY",
  "platform": {"address": "10.0.0.9:0", "namespace": "repair", "rates": {"claims": 0}, "namespace": "x"},
  "seedPeers": ["10.0.0.2:7100", 5],
  "drain": 5,
  "limits": {"maxInFlight": 1.5},
  "maxBodyBytes": "1024",
  "admission": {"pipelines": {"Bad Name": {"maxQueued": 1}}}
}`
	_, err := NewEntry(Input{File: "e.json", Content: []byte(content), Environ: []string{
		"BERGAMOTRUDDER_LOGLEVEL=info", "BERGAMOTRUDDER_LOG_LEVEL=loud", "BERGAMOTRUDDER_UPSTREAM_STAGE=other-role", "KEY=short",
	}, Flags: []string{"nonsense"}})
	got := strings.Join(faultsOf(t, err), "\n")
	for _, want := range []string{
		`e.json:2: name: is "Entry 1", allowed are 1 to 63 lower-case letters`,
		"e.json:3: failureDomain: must be text",
		"e.json:4: peerListen: listens on every address",
		"e.json:6: secretEnv: only one of secretFile and secretEnv",
		"e.json:7: callerlisten: is no known setting, perhaps callerListen is meant",
		`e.json:8: callerListen: is "localhost:80", allowed are an IP number`,
		"e.json:9: operatorListen: is 127.0.0.1:7100, which overlaps with peerListen",
		"e.json:10: operatorKeyEnv: names a secret of 5 bytes, allowed are 16",
		"e.json:11: platform.address: is",
		"e.json:11: platform.rates.claims: is 0, allowed are 0.01 to 1000 calls/s",
		"e.json:11: platform.namespace: appears twice",
		"e.json:12: seedPeers: item 2 must be text",
		"e.json:13: drain: must be an object",
		"e.json:14: limits.maxInFlight: is 1.5, which is no whole number within the allowed 1 to 1000000",
		"e.json:15: maxBodyBytes: must be a whole number, allowed are 1024 to 1048576 bytes",
		"e.json:16: admission.pipelines.Bad Name: is no known setting",
		"environment: BERGAMOTRUDDER_LOGLEVEL: is no known setting",
		`environment: logLevel: is "loud", allowed are debug, info, warn, error`,
		"flag: nonsense: must have the form name=value",
	} {
		if !strings.Contains(got, want) {
			t.Errorf("missing fault %q", want)
		}
	}
	if n := strings.Count(got, "\n") + 1; n != 19 {
		t.Errorf("got %d faults, want 19:\n%s", n, got)
	}
}

// Guards against a start without required settings, and against syntax errors without a line.
func TestMissingSettingsAndSyntaxErrors(t *testing.T) {
	_, err := NewSidecar(Input{File: "s.json", Content: []byte("\n{}")})
	got := strings.Join(faultsOf(t, err), "\n")
	for _, name := range []string{"name", "failureDomain", "peerListen", "upstream.name", "upstream.stage", "upstream.address", "secretFile"} {
		if !strings.Contains(got, "s.json:2: "+name+": is missing") {
			t.Errorf("%s is not reported as missing:\n%s", name, got)
		}
	}
	_, err = NewSidecar(Input{File: "s.json", Content: []byte("{\n\"name\": }")})
	if got := faultsOf(t, err)[0]; !strings.HasPrefix(got, "s.json:2: ") {
		t.Errorf("the syntax error is %q, want it on line 2", got)
	}
}

// Guards against a secret that stays in use after the platform has rotated its file.
func TestSecretFileIsReread(t *testing.T) {
	name := filepath.Join(t.TempDir(), "secret")
	s := SecretSource{file: name}
	for _, want := range []string{"first-secret", "second-secret"} {
		if err := os.WriteFile(name, []byte(want+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		if got, err := s.Read(); err != nil || got != want {
			t.Errorf("got %q, %v, want %q", got, err, want)
		}
	}
	if err := os.WriteFile(name, []byte(" \n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Read(); err == nil {
		t.Error("an empty secret was accepted")
	}
}

// Guards against defaults outside their range and against duplicate names of settings.
func TestTableIsConsistent(t *testing.T) {
	for _, role := range []fleet.Role{fleet.RoleEntry, fleet.RoleSidecar} {
		seen := make(map[string]bool)
		for _, r := range Table(role) {
			if seen[r.Name] || (r.Variable != "" && seen[r.Variable]) {
				t.Errorf("%s %s: name or variable appears twice", role, r.Name)
			}
			seen[r.Name], seen[r.Variable] = true, true
			if r.Required && r.Default != "" {
				t.Errorf("%s %s: is required and has a default", role, r.Name)
			}
		}
	}
	_, err := NewSidecar(Input{})
	if got := strings.Join(faultsOf(t, err), "\n"); strings.Contains(got, "default:") {
		t.Errorf("a default is out of range:\n%s", got)
	}
	_, err = NewEntry(Input{})
	if got := strings.Join(faultsOf(t, err), "\n"); strings.Contains(got, "default:") {
		t.Errorf("a default is out of range:\n%s", got)
	}
}

// Guards against crashes and against accepting values outside the ranges in the table.
func FuzzNewEntry(f *testing.F) {
	f.Add([]byte(entryFile), "logLevel=debug")
	f.Add([]byte(`{"platform": [], "seedPeers": {"a": 1}, "admission": {"pipelines": {"": {}, "a.b": {"maxInFlight": 1}}}}`), "=")
	f.Add([]byte(`{"limits": {"maxInFlight": 1e999, "maxInFlight": -0}}`), "admission.pipelines.*.maxQueued=1")
	f.Fuzz(func(t *testing.T, content []byte, flag string) {
		e, err := NewEntry(Input{Content: content, Environ: environ, Flags: []string{flag}, Offline: true})
		if err != nil {
			if len(faultsOf(t, err)) == 0 {
				t.Fatal("an InvalidError without faults")
			}
			return
		}
		if n := e.MaxBodyBytes(); n < 1024 || n > MaxBodyBytes {
			t.Fatalf("accepted a body limit of %d", n)
		}
		if r := e.ClaimsRate().PerSecond(); !(r >= 0.01 && r <= 1000) {
			t.Fatalf("accepted a rate of %v", r)
		}
		if !e.PeerListen().IsValid() || !e.Secret().IsSet() || e.Name() == "" {
			t.Fatal("accepted settings without a required one")
		}
	})
}

// Guards against a documentation page whose table or examples differ from the code.
func TestOperationsPage(t *testing.T) {
	b, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(b)
	for _, role := range []fleet.Role{fleet.RoleEntry, fleet.RoleSidecar} {
		var table strings.Builder
		if err := WriteTable(&table, role); err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(page, table.String()) {
			t.Errorf("the page does not contain the table of `bergamotrudder check --table=%s`", role)
		}
	}
	examples := strings.Split(page, "```jsonc\n")[1:]
	if len(examples) != 2 {
		t.Fatalf("the page has %d examples, want one for each role", len(examples))
	}
	for _, example := range examples {
		content, _, _ := strings.Cut(example, "```")
		role, err := RoleOf([]byte(content))
		if err != nil {
			t.Fatal(err)
		}
		in := Input{Content: []byte(content), Offline: true}
		if role == fleet.RoleEntry {
			_, err = NewEntry(in)
		} else {
			_, err = NewSidecar(in)
		}
		if err != nil {
			t.Errorf("the example of %s: %v", role, err)
		}
	}
}
