package settings

import (
	"net/netip"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Entry holds the settings of an entry.
type Entry struct {
	Common
	callerListen        netip.AddrPort
	operatorListen      netip.AddrPort
	operatorKey         SecretSource
	platformAddress     netip.AddrPort
	platformNamespace   string
	platformToken       SecretSource
	claims              Rate
	configuration       Rate
	housekeeping        Rate
	seedPeers           []netip.AddrPort
	maxBodyBytes        int
	maxInFlight         int
	admissionInFlight   int
	admissionQueued     int
	pipelineMaxInFlight map[string]int
	pipelineMaxQueued   map[string]int
}

// Rate bounds one share of the calls to the platform.
type Rate struct {
	perSecond float64
	burst     int
}

// PerSecond returns the rate, in calls per second.
func (r Rate) PerSecond() float64 { return r.perSecond }

// Burst returns the calls that may go out at once after a pause.
func (r Rate) Burst() int { return r.burst }

// NewEntry reads the settings of an entry. The error is an *InvalidError that lists
// every fault.
func NewEntry(in Input) (*Entry, error) {
	e := &Entry{pipelineMaxInFlight: make(map[string]int), pipelineMaxQueued: make(map[string]int)}
	l := newLoader(in, e.fields())
	l.load()
	l.bind(&e.secret, &e.operatorKey, &e.platformToken)
	e.check(l)
	if err := l.err(); err != nil {
		return nil, err
	}
	return e, nil
}

func (e *Entry) fields() []field {
	return append(e.Common.fields(fleet.RoleEntry), []field{
		{name: "callerListen", to: &e.callerListen, listen: true, required: true, unit: unitAddress,
			help: "listener of the callers' API"},
		{name: "operatorListen", to: &e.operatorListen, listen: true, required: true, unit: unitAddress,
			help: "listener of the operators' API"},
		{name: "operatorKeyFile", to: &e.operatorKey.file,
			help: "file with the bearer key of the operators' API, at least 16 bytes; this or operatorKeyEnv"},
		{name: "operatorKeyEnv", to: &e.operatorKey.env,
			help: "environment variable with the operators' key; this or operatorKeyFile"},
		{name: "platform.address", to: &e.platformAddress, required: true, unit: unitAddress,
			help: "address of the platform's object API"},
		{name: "platform.namespace", to: &e.platformNamespace, label: true, required: true,
			help: "namespace of the system's objects"},
		{name: "platform.tokenFile", to: &e.platformToken.file,
			help: "file with the bearer token for the object API; this, tokenEnv or none"},
		{name: "platform.tokenEnv", to: &e.platformToken.env,
			help: "environment variable with that token"},
		{name: "platform.rates.claims", to: &e.claims.perSecond, unit: unitRate, low: 0.01, high: 1000, def: "200",
			help: "calls of this entry for claims and outcomes; the sum over all entries must stay within the platform's rate"},
		{name: "platform.rates.configuration", to: &e.configuration.perSecond, unit: unitRate, low: 0.01, high: 1000, def: "50",
			help: "calls of this entry for the configuration"},
		{name: "platform.rates.housekeeping", to: &e.housekeeping.perSecond, unit: unitRate, low: 0.01, high: 1000, def: "5",
			help: "calls of this entry for leases, instances and clean-up"},
		{name: "platform.bursts.claims", to: &e.claims.burst, unit: "calls", low: 1, high: 10_000, def: "200",
			help: "calls for claims and outcomes that may go out at once after a pause"},
		{name: "platform.bursts.configuration", to: &e.configuration.burst, unit: "calls", low: 1, high: 10_000, def: "100",
			help: "calls for the configuration that may go out at once after a pause"},
		{name: "platform.bursts.housekeeping", to: &e.housekeeping.burst, unit: "calls", low: 1, high: 10_000, def: "10",
			help: "other calls that may go out at once after a pause"},
		{name: "seedPeers", to: &e.seedPeers, unit: unitAddress, low: 0, high: MaxSeedPeers,
			help: "peer listeners of other entries to ask at start, as a list"},
		{name: "maxBodyBytes", to: &e.maxBodyBytes, unit: unitBytes, low: 1024, high: MaxBodyBytes, def: "1048576",
			help: "largest body of a caller's request"},
		{name: "limits.maxInFlight", to: &e.maxInFlight, unit: unitCalls, low: 1, high: 1_000_000, def: "4096",
			help: "requests that the entry holds at once, waiting ones included"},
		{name: "admission.maxInFlight", to: &e.admissionInFlight, unit: unitCalls, low: 1, high: 100_000, def: "256",
			help: "admitted requests of one pipeline in this entry"},
		{name: "admission.maxQueued", to: &e.admissionQueued, unit: unitQueued, low: 0, high: 100_000, def: "512",
			help: "requests of one pipeline that wait for admission in this entry"},
		{name: "admission.pipelines.*.maxInFlight", to: &e.pipelineMaxInFlight, unit: unitCalls, low: 1, high: 100_000,
			help: "admission.maxInFlight for the pipeline named in place of *"},
		{name: "admission.pipelines.*.maxQueued", to: &e.pipelineMaxQueued, unit: unitQueued, low: 0, high: 100_000,
			help: "admission.maxQueued for the pipeline named in place of *"},
	}...)
}

func (e *Entry) check(l *loader) {
	e.Common.check(l)
	l.oneOf("operatorKeyFile", "operatorKeyEnv", e.operatorKey, true, MinSecretBytes)
	l.oneOf("platform.tokenFile", "platform.tokenEnv", e.platformToken, false, 1)
	l.distinct("peerListen", e.peerListen, "callerListen", e.callerListen)
	l.distinct("peerListen", e.peerListen, "operatorListen", e.operatorListen)
	l.distinct("callerListen", e.callerListen, "operatorListen", e.operatorListen)
}

// CallerListen returns the address of the callers' listener.
func (e *Entry) CallerListen() netip.AddrPort { return e.callerListen }

// OperatorListen returns the address of the operators' listener.
func (e *Entry) OperatorListen() netip.AddrPort { return e.operatorListen }

// OperatorKey returns the source of the operators' bearer key.
func (e *Entry) OperatorKey() SecretSource { return e.operatorKey }

// PlatformAddress returns the address of the platform's object API.
func (e *Entry) PlatformAddress() netip.AddrPort { return e.platformAddress }

// PlatformNamespace returns the namespace of the system's objects.
func (e *Entry) PlatformNamespace() string { return e.platformNamespace }

// PlatformToken returns the source of the platform's bearer token, which may be unset.
func (e *Entry) PlatformToken() SecretSource { return e.platformToken }

// Claims returns the rate of platform calls for claims and outcomes.
func (e *Entry) Claims() Rate { return e.claims }

// Configuration returns the rate of platform calls for the configuration.
func (e *Entry) Configuration() Rate { return e.configuration }

// Housekeeping returns the rate of the other platform calls.
func (e *Entry) Housekeeping() Rate { return e.housekeeping }

// SeedPeers returns the entries to ask at start; the slice is the caller's own.
func (e *Entry) SeedPeers() []netip.AddrPort { return append([]netip.AddrPort(nil), e.seedPeers...) }

// MaxBodyBytes returns the largest body of a caller's request, in bytes.
func (e *Entry) MaxBodyBytes() int { return e.maxBodyBytes }

// MaxInFlight returns the bound on the requests that the entry holds at once.
func (e *Entry) MaxInFlight() int { return e.maxInFlight }

// AdmissionInFlight returns the bound on the pipeline's admitted requests.
func (e *Entry) AdmissionInFlight(pipeline string) int {
	if n, ok := e.pipelineMaxInFlight[pipeline]; ok {
		return n
	}
	return e.admissionInFlight
}

// AdmissionQueued returns the bound on the pipeline's requests that wait for admission.
func (e *Entry) AdmissionQueued(pipeline string) int {
	if n, ok := e.pipelineMaxQueued[pipeline]; ok {
		return n
	}
	return e.admissionQueued
}
