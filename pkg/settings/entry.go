package settings

import (
	"net/netip"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Entry contains the settings of an entry.
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
	memoryMB            int
	descriptors         int
	admissionInFlight   int
	admissionQueued     int
	pipelineMaxInFlight map[string]int
	pipelineMaxQueued   map[string]int
}

// Rate is the rate limit of one share of the calls to the platform.
type Rate struct {
	perSecond float64
	burst     int
}

// PerSecond returns the rate, in calls per second.
func (r Rate) PerSecond() float64 { return r.perSecond }

// Burst returns the number of calls that may be sent at once after a pause.
func (r Rate) Burst() int { return r.burst }

// NewEntry reads the settings of an entry. The error is an *InvalidError that lists
// all faults.
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
		{name: "callerListen", target: &e.callerListen, listen: true, required: true, unit: unitAddress,
			help: "listener of the callers' API"},
		{name: "operatorListen", target: &e.operatorListen, listen: true, required: true, unit: unitAddress,
			help: "listener of the operators' API"},
		{name: "operatorKeyFile", target: &e.operatorKey.file,
			help: "file with the bearer key of the operators' API, at least 16 bytes; this or operatorKeyEnv"},
		{name: "operatorKeyEnv", target: &e.operatorKey.env,
			help: "environment variable with the operators' key; this or operatorKeyFile"},
		{name: "platform.address", target: &e.platformAddress, required: true, unit: unitAddress,
			help: "address of the platform's object API"},
		{name: "platform.namespace", target: &e.platformNamespace, label: true, required: true,
			help: "namespace of the system's objects"},
		{name: "platform.tokenFile", target: &e.platformToken.file,
			help: "file with the bearer token for the object API; this, tokenEnv or none"},
		{name: "platform.tokenEnv", target: &e.platformToken.env,
			help: "environment variable with that token"},
		{name: "platform.rates.claims", target: &e.claims.perSecond, unit: unitRate, low: 0.01, high: 1000, def: "200",
			help: "calls of this entry for claims and outcomes; the sum over all entries must stay within the platform's rate"},
		{name: "platform.rates.configuration", target: &e.configuration.perSecond, unit: unitRate, low: 0.01, high: 1000, def: "50",
			help: "calls of this entry for the configuration"},
		{name: "platform.rates.housekeeping", target: &e.housekeeping.perSecond, unit: unitRate, low: 0.01, high: 1000, def: "5",
			help: "calls of this entry for leases, instances and clean-up"},
		{name: "platform.bursts.claims", target: &e.claims.burst, unit: "calls", low: 1, high: 10_000, def: "200",
			help: "calls for claims and outcomes that may go out at once after a pause"},
		{name: "platform.bursts.configuration", target: &e.configuration.burst, unit: "calls", low: 1, high: 10_000, def: "100",
			help: "calls for the configuration that may go out at once after a pause"},
		{name: "platform.bursts.housekeeping", target: &e.housekeeping.burst, unit: "calls", low: 1, high: 10_000, def: "10",
			help: "other calls that may go out at once after a pause"},
		{name: "seedPeers", target: &e.seedPeers, unit: unitAddress, low: 0, high: MaxSeedPeers,
			help: "peer listeners of other entries to ask at start, as a list"},
		{name: "maxBodyBytes", target: &e.maxBodyBytes, unit: unitBytes, low: 1024, high: MaxBodyBytes, def: "1048576",
			help: "largest body of a caller's request"},
		{name: "limits.maxInFlight", target: &e.maxInFlight, unit: unitRequests, low: 1, high: 1_000_000, def: "4096",
			help: "requests in the entry at once, queued or admitted"},
		{name: "memory.limitMB", target: &e.memoryMB, unit: unitMegabytes, low: 64, high: 1 << 20, def: "1024",
			help: "memory by which what is held for callers is bounded"},
		{name: "descriptors.limit", target: &e.descriptors, unit: unitDescriptors, low: 0, high: 1 << 20, def: "0",
			help: "files and sockets that the process may have open; 0 is the limit of the operating system; six tenths are for callers"},
		{name: "admission.maxInFlight", target: &e.admissionInFlight, unit: unitRequests, low: 1, high: 100_000, def: "256",
			help: "admitted requests of one pipeline in this entry, without queued ones"},
		{name: "admission.maxQueued", target: &e.admissionQueued, unit: unitQueued, low: 0, high: 100_000, def: "512",
			help: "requests of one pipeline that wait for admission in this entry"},
		{name: "admission.pipelines.*.maxInFlight", target: &e.pipelineMaxInFlight, unit: unitRequests, low: 1, high: 100_000,
			help: "admission.maxInFlight for the pipeline named in place of *"},
		{name: "admission.pipelines.*.maxQueued", target: &e.pipelineMaxQueued, unit: unitQueued, low: 0, high: 100_000,
			help: "admission.maxQueued for the pipeline named in place of *"},
	}...)
}

func (e *Entry) check(l *loader) {
	e.Common.check(l)
	l.checkSource("operatorKeyFile", "operatorKeyEnv", e.operatorKey, true, MinSecretBytes)
	l.checkSource("platform.tokenFile", "platform.tokenEnv", e.platformToken, false, 1)
	l.checkDistinct("peerListen", e.peerListen, "callerListen", e.callerListen)
	l.checkDistinct("peerListen", e.peerListen, "operatorListen", e.operatorListen)
	l.checkDistinct("callerListen", e.callerListen, "operatorListen", e.operatorListen)
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

// PlatformToken returns the source of the bearer token for the object API, which may be unset.
func (e *Entry) PlatformToken() SecretSource { return e.platformToken }

// ClaimsRate returns the rate limit of platform calls for claims and outcomes.
func (e *Entry) ClaimsRate() Rate { return e.claims }

// ConfigurationRate returns the rate limit of platform calls for the configuration.
func (e *Entry) ConfigurationRate() Rate { return e.configuration }

// HousekeepingRate returns the rate limit of the other platform calls.
func (e *Entry) HousekeepingRate() Rate { return e.housekeeping }

// SeedPeers returns the peer listeners of the entries to contact at start. The slice is a copy.
func (e *Entry) SeedPeers() []netip.AddrPort { return append([]netip.AddrPort(nil), e.seedPeers...) }

// MaxBodyBytes returns the maximum size of the body of a caller's request, in bytes.
func (e *Entry) MaxBodyBytes() int { return e.maxBodyBytes }

// MaxInFlight returns the maximum number of requests in the entry, including queued ones.
func (e *Entry) MaxInFlight() int { return e.maxInFlight }

// MemoryBytes returns the memory by which what is held for callers is bounded, in bytes.
func (e *Entry) MemoryBytes() int64 { return int64(e.memoryMB) << 20 }

// Descriptors returns how many files and sockets the process may have open, or 0 if the limit of the
// operating system holds.
func (e *Entry) Descriptors() int { return e.descriptors }

// AdmissionInFlight returns the maximum number of admitted requests of the pipeline.
func (e *Entry) AdmissionInFlight(pipeline string) int {
	if n, ok := e.pipelineMaxInFlight[pipeline]; ok {
		return n
	}
	return e.admissionInFlight
}

// AdmissionQueued returns the maximum number of the pipeline's requests that are queued for admission.
func (e *Entry) AdmissionQueued(pipeline string) int {
	if n, ok := e.pipelineMaxQueued[pipeline]; ok {
		return n
	}
	return e.admissionQueued
}
