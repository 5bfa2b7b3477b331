package settings

import (
	"net/netip"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Common holds the settings of both roles.
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
		{name: "role", to: &c.role, choices: []string{string(role)}, def: string(role),
			help: "role that the file is for; `check` needs it in the file"},
		{name: "name", to: &c.name, label: true, required: true,
			help: "name of the instance, unique among live instances"},
		{name: "failureDomain", to: &c.failureDomain, label: true, required: true,
			help: "failure domain that the instance runs in"},
		{name: "region", to: &c.region, label: true,
			help: "region of the failure domain, for people"},
		{name: "peerListen", to: &c.peerListen, listen: true, required: true, unit: unitAddress,
			help: "listener for the system's other processes; port 0 takes a free port"},
		{name: "advertise", to: &c.advertise, unit: unitAddress,
			help: "address under which other processes reach peerListen; without it, the address of the listener"},
		{name: "secretFile", to: &c.secret.file,
			help: "file with the secret that all processes share, at least 16 bytes; this or secretEnv"},
		{name: "secretEnv", to: &c.secret.env,
			help: "environment variable with the shared secret; this or secretFile"},
		{name: "logLevel", to: &c.logLevel, choices: []string{"debug", "info", "warn", "error"}, def: "info",
			help: "least severe level that is logged"},
		{name: "drain.delaySeconds", to: &c.drainDelay, unit: unitSeconds, low: 0, high: 300, def: "10",
			help: "time for which an entry that shuts down serves on after its readiness failed, and a sidecar stays to refuse new work; covers the lag of the balancer and the instance list"},
		{name: "drain.timeoutSeconds", to: &c.drainTimeout, unit: unitSeconds, low: 1, high: 3600, def: "60",
			help: "longest time that requests in flight may take after that"},
	}
}

func (c *Common) check(l *loader) {
	l.oneOf("secretFile", "secretEnv", c.secret, true, MinSecretBytes)
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

// PeerListen returns the address of the peer listener; port 0 takes a free port.
func (c *Common) PeerListen() netip.AddrPort { return c.peerListen }

// Advertise returns the address for other processes. It is invalid when the
// listener's own address is to be used.
func (c *Common) Advertise() netip.AddrPort { return c.advertise }

// Secret returns the source of the shared secret.
func (c *Common) Secret() SecretSource { return c.secret }

// LogLevel returns debug, info, warn or error.
func (c *Common) LogLevel() string { return c.logLevel }

// DrainDelay returns the time that covers the lag of the balancer and the instance
// list: an entry serves on for it after its readiness failed.
func (c *Common) DrainDelay() time.Duration { return c.drainDelay }

// DrainTimeout returns the longest time that requests in flight may take after DrainDelay.
func (c *Common) DrainTimeout() time.Duration { return c.drainTimeout }
