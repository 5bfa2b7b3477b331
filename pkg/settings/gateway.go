package settings

import (
	"net/netip"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

const (
	unitMilliseconds = "ms"
	unitMegabytes    = "MB"
	unitMegabits     = "Mbit/s"
	unitDescriptors  = "descriptors"
)

// Gateway contains the settings of a gateway.
type Gateway struct {
	role            string
	name            string
	failureDomain   string
	callerListen    netip.AddrPort
	readyListen     netip.AddrPort
	peerListen      netip.AddrPort
	metricsListen   netip.AddrPort
	platformAddress netip.AddrPort
	logLevel        string
	graceMs         int
	graceSeconds    float64
	drainMs         int
	memoryMB        int
	processorShare  float64
	processorCores  float64
	linkMbps        float64
	descriptors     int
	exposureShare   float64
	exposureSlack   int
}

// NewGateway reads the settings of a gateway. The error is an *InvalidError that lists
// all faults.
func NewGateway(in Input) (*Gateway, error) {
	g := &Gateway{}
	l := newLoader(in, g.fields())
	l.load()
	g.check(l)
	if err := l.err(); err != nil {
		return nil, err
	}
	return g, nil
}

func (g *Gateway) fields() []field {
	return []field{
		{name: "role", target: &g.role, choices: []string{string(fleet.RoleGateway)}, def: string(fleet.RoleGateway),
			help: "role that the file is for; `check` needs it in the file"},
		{name: "name", target: &g.name, label: true, required: true,
			help: "name of the instance, unique among live instances"},
		{name: "failureDomain", target: &g.failureDomain, label: true, required: true,
			help: "failure domain that the instance runs in"},
		{name: "callerListen", target: &g.callerListen, listen: true, required: true, unit: unitAddress,
			help: "listener for callers"},
		{name: "readyListen", target: &g.readyListen, listen: true, required: true, unit: unitAddress,
			help: "listener for the load balancer's readiness checks"},
		{name: "peerListen", target: &g.peerListen, required: true, unit: unitAddress,
			help: "listener for other gateways, which connect to this address"},
		{name: "metricsListen", target: &g.metricsListen, listen: true, required: true, unit: unitAddress,
			help: "listener for metrics and the state dump"},
		{name: "platform.address", target: &g.platformAddress, required: true, unit: unitAddress,
			help: "address of the platform's object API"},
		{name: "logLevel", target: &g.logLevel, choices: []string{"debug", "info", "warn", "error"}, def: "info",
			help: "least severe level that is logged"},
		{name: "shutdown.graceMs", target: &g.graceMs, unit: unitMilliseconds, low: 1000, high: 600_000, def: "8000",
			help: "time from SIGTERM until the platform kills the process"},
		{name: "shutdown.graceSeconds", target: &g.graceSeconds, unit: unitSeconds, low: 1, high: 600,
			help: "the same in seconds, which may have a fraction; this or shutdown.graceMs"},
		{name: "shutdown.drainMs", target: &g.drainMs, unit: unitMilliseconds, low: 0, high: 300_000, def: "2500",
			help: "time for which new requests are accepted after SIGTERM, shorter than graceMs; a time above a third of graceMs is shortened to a third; covers the lag of the load balancer"},
		{name: "memory.limitMB", target: &g.memoryMB, unit: unitMegabytes, low: 64, high: 1 << 20, def: "256",
			help: "memory limit at which the process is killed; the garbage collector aims to stay below it, and what is held for callers is bounded by it"},
		{name: "processor.share", target: &g.processorShare, low: 0.001, high: 1, def: "1",
			help: "share of the processor that the instance gets"},
		{name: "processor.cores", target: &g.processorCores, low: 0.001, high: 1024, def: "1",
			help: "speed of the instance's processor, in cores"},
		{name: "network.linkMbps", target: &g.linkMbps, unit: unitMegabits, low: 0.001, high: 10_000_000, def: "1000",
			help: "bandwidth of the instance's link"},
		{name: "descriptors.limit", target: &g.descriptors, unit: unitDescriptors, low: 0, high: 1 << 20, def: "0",
			help: "files and sockets that the process may have open; 0 is the limit of the operating system; six tenths are for callers"},
		{name: "rollouts.exposureShare", target: &g.exposureShare, low: 0, high: 1, def: "0",
			help: "part of a service's requests that a version that turns out to be bad may get; 0 if the deployment has no roll-outs"},
		{name: "rollouts.exposureSlack", target: &g.exposureSlack, low: 0, high: 1_000_000, def: "0",
			help: "requests that such a version may get beyond that"},
	}
}

func (g *Gateway) check(l *loader) {
	l.checkDistinct("callerListen", g.callerListen, "readyListen", g.readyListen)
	l.checkDistinct("callerListen", g.callerListen, "peerListen", g.peerListen)
	l.checkDistinct("callerListen", g.callerListen, "metricsListen", g.metricsListen)
	if l.seen["shutdown.graceMs"] && l.seen["shutdown.graceSeconds"] {
		l.fail("shutdown.graceSeconds", "is also set as shutdown.graceMs")
	}
	if l.seen["shutdown.drainMs"] && time.Duration(g.drainMs)*time.Millisecond >= g.GracePeriod() {
		l.fail("shutdown.drainMs", "must be shorter than shutdown.graceMs")
	}
}

// Name returns the name of the instance.
func (g *Gateway) Name() string { return g.name }

// FailureDomain returns the failure domain that the instance runs in.
func (g *Gateway) FailureDomain() string { return g.failureDomain }

// CallerListen returns the address of the callers' listener.
func (g *Gateway) CallerListen() netip.AddrPort { return g.callerListen }

// ReadyListen returns the address of the listener for the load balancer's readiness checks.
func (g *Gateway) ReadyListen() netip.AddrPort { return g.readyListen }

// PeerListen returns the address of the listener for other gateways.
func (g *Gateway) PeerListen() netip.AddrPort { return g.peerListen }

// MetricsListen returns the address of the listener for metrics and the state dump.
func (g *Gateway) MetricsListen() netip.AddrPort { return g.metricsListen }

// PlatformAddress returns the address of the platform's object API.
func (g *Gateway) PlatformAddress() netip.AddrPort { return g.platformAddress }

// LogLevel returns the log level: debug, info, warn or error.
func (g *Gateway) LogLevel() string { return g.logLevel }

// GracePeriod returns the time from SIGTERM until the platform kills the process.
func (g *Gateway) GracePeriod() time.Duration {
	if g.graceSeconds > 0 {
		return time.Duration(g.graceSeconds * float64(time.Second))
	}
	return time.Duration(g.graceMs) * time.Millisecond
}

// DrainDelay returns how long new requests are accepted after SIGTERM. It is at most a
// third of GracePeriod, so that at least two thirds remain for requests in progress.
func (g *Gateway) DrainDelay() time.Duration {
	return min(time.Duration(g.drainMs)*time.Millisecond, g.GracePeriod()/3)
}

// ExposureShare returns the part of a service's requests that a version that turns out to be bad
// may get, or 0 if the deployment has no roll-outs.
func (g *Gateway) ExposureShare() float64 { return g.exposureShare }

// ExposureSlack returns the requests that such a version may get beyond that.
func (g *Gateway) ExposureSlack() int { return g.exposureSlack }

// MemoryBytes returns the memory limit at which the process is killed, in bytes.
func (g *Gateway) MemoryBytes() int64 { return int64(g.memoryMB) << 20 }

// Cores returns the processor that the instance gets, in cores.
func (g *Gateway) Cores() float64 { return g.processorShare * g.processorCores }

// LinkMbps returns the bandwidth of the instance's link, in Mbit/s.
func (g *Gateway) LinkMbps() float64 { return g.linkMbps }

// Descriptors returns how many files and sockets the process may have open, or 0 if the limit of the
// operating system holds.
func (g *Gateway) Descriptors() int { return g.descriptors }
