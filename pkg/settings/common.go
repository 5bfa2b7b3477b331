package settings

import (
	"net/netip"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Common contains the settings that entries and sidecars share.
type Common struct {
	role          string
	name          string
	failureDomain string
	region        string
	peerListen    netip.AddrPort
	advertise     netip.AddrPort
	secret        SecretSource
	logLevel      string
	drainDelay    time.Duration
	drainTimeout  time.Duration
}

func (c *Common) fields(role fleet.Role) []field {
	return []field{
		{name: "role", target: &c.role, choices: []string{string(role)}, def: string(role),
			help: "role that the file is for; `check` needs it in the file"},
		{name: "name", target: &c.name, label: true, required: true,
			help: "name of the instance, unique among live instances"},
		{name: "failureDomain", target: &c.failureDomain, label: true, required: true,
			help: "failure domain that the instance runs in"},
		{name: "region", target: &c.region, label: true,
			help: "region of the failure domain, for people"},
		{name: "peerListen", target: &c.peerListen, listen: true, required: true, unit: unitAddress,
			help: "listener for the system's other processes; port 0 takes a free port"},
		{name: "advertise", target: &c.advertise, unit: unitAddress,
			help: "address under which other processes reach peerListen; without it, the address of the listener"},
		{name: "secretFile", target: &c.secret.file,
			help: "file with the secret that all processes share, at least 16 bytes; this or secretEnv"},
		{name: "secretEnv", target: &c.secret.env,
			help: "environment variable with the shared secret; this or secretFile"},
		{name: "logLevel", target: &c.logLevel, choices: []string{"debug", "info", "warn", "error"}, def: "info",
			help: "least severe level that is logged"},
		{name: "drain.delaySeconds", target: &c.drainDelay, unit: unitSeconds, low: 0, high: 300, def: "10",
			help: "time that an entry keeps serving after its readiness check starts to fail, and that a sidecar keeps rejecting new work; covers the lag of the load balancer and the instance list"},
		{name: "drain.timeoutSeconds", target: &c.drainTimeout, unit: unitSeconds, low: 1, high: 3600, def: "60",
			help: "longest time that requests in flight may take after that"},
	}
}

func (c *Common) check(l *loader) {
	l.checkSource("secretFile", "secretEnv", c.secret, true, MinSecretBytes)
	if c.peerListen.IsValid() && c.peerListen.Addr().IsUnspecified() && !c.advertise.IsValid() {
		l.fail("peerListen", "listens on every address of the instance; advertise must name the one that others use")
	}
}

// Name returns the name of the instance.
func (c *Common) Name() string { return c.name }

// FailureDomain returns the failure domain that the instance runs in.
func (c *Common) FailureDomain() string { return c.failureDomain }

// Region returns the region of the failure domain, or empty.
func (c *Common) Region() string { return c.region }

// PeerListen returns the address of the listener for other processes; port 0 means any free port.
func (c *Common) PeerListen() netip.AddrPort { return c.peerListen }

// Advertise returns the address under which other processes reach the peer listener. It
// is the zero AddrPort, which is not valid, if the listener's address is to be used.
func (c *Common) Advertise() netip.AddrPort { return c.advertise }

// Secret returns the source of the secret that all processes share.
func (c *Common) Secret() SecretSource { return c.secret }

// LogLevel returns the log level: debug, info, warn or error.
func (c *Common) LogLevel() string { return c.logLevel }

// DrainDelay returns how long an entry keeps serving after its readiness check has
// started to fail, and a sidecar keeps rejecting new work. It covers the lag of the load
// balancer and of the instance list.
func (c *Common) DrainDelay() time.Duration { return c.drainDelay }

// DrainTimeout returns the maximum time that requests in flight may take after DrainDelay.
func (c *Common) DrainTimeout() time.Duration { return c.drainTimeout }
