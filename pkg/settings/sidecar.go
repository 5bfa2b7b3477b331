package settings

import (
	"net/netip"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Sidecar contains the settings of a sidecar.
type Sidecar struct {
	Common
	upstreamName    string
	upstreamStage   string
	upstreamAddress netip.AddrPort
	maxQueued       int
	maxTicketBytes  int
	maxAttempts     int
	maxAttemptBytes int
}

// NewSidecar reads the settings of a sidecar. The error is an *InvalidError that
// lists all faults.
func NewSidecar(in Input) (*Sidecar, error) {
	s := &Sidecar{}
	l := newLoader(in, s.fields())
	l.load()
	l.bind(&s.secret)
	s.check(l)
	if err := l.err(); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Sidecar) fields() []field {
	return append(s.Common.fields(fleet.RoleSidecar), []field{
		{name: "upstream.name", target: &s.upstreamName, label: true, required: true,
			help: "name of the upstream, as in the configuration and the sheet"},
		{name: "upstream.stage", target: &s.upstreamStage, label: true, required: true,
			help: "stage that the upstream serves"},
		{name: "upstream.address", target: &s.upstreamAddress, required: true, unit: unitAddress,
			help: "HTTP listener of the upstream"},
		{name: "limits.maxQueued", target: &s.maxQueued, unit: unitQueued, low: 0, high: 100_000, def: "256",
			help: "calls that wait for the upstream"},
		{name: "memory.maxTicketBytes", target: &s.maxTicketBytes, unit: unitBytes, low: 1 << 20, high: 8 << 30, def: "16777216",
			help: "memory for used tickets and their outcomes; a ticket that was evicted answers unknown"},
		{name: "memory.maxAttempts", target: &s.maxAttempts, unit: "attempts", low: 1000, high: 10_000_000, def: "200000",
			help: "attempts whose outcomes are kept for queries; while all of them may still be queried, new attempts are rejected"},
		{name: "memory.maxAttemptBytes", target: &s.maxAttemptBytes, unit: unitBytes, low: 1 << 20, high: 8 << 30, def: "16777216",
			help: "memory for the answers of finished attempts"},
	}...)
}

func (s *Sidecar) check(l *loader) {
	s.Common.check(l)
	l.checkDistinct("peerListen", s.peerListen, "upstream.address", s.upstreamAddress)
}

// UpstreamName returns the name of the upstream.
func (s *Sidecar) UpstreamName() string { return s.upstreamName }

// UpstreamStage returns the stage that the upstream serves.
func (s *Sidecar) UpstreamStage() string { return s.upstreamStage }

// UpstreamAddress returns the address of the upstream's HTTP listener.
func (s *Sidecar) UpstreamAddress() netip.AddrPort { return s.upstreamAddress }

// MaxQueued returns the maximum number of calls that are queued for the upstream.
func (s *Sidecar) MaxQueued() int { return s.maxQueued }

// MaxTicketBytes returns the memory limit for used tickets and their outcomes, in bytes.
func (s *Sidecar) MaxTicketBytes() int { return s.maxTicketBytes }

// MaxAttempts returns the maximum number of attempts whose outcomes are kept.
func (s *Sidecar) MaxAttempts() int { return s.maxAttempts }

// MaxAttemptBytes returns the memory limit for the replies of finished attempts, in bytes.
func (s *Sidecar) MaxAttemptBytes() int { return s.maxAttemptBytes }
