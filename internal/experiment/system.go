package experiment

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Secret is the shared secret of the processes of a run.
const Secret = "experiment"

// System is a way to run a topology. Every function returns a started process or an
// error, and must release all resources when it fails.
type System struct {
	// Name is the system's name in reports.
	Name string
	// KillTimeout bounds the wait for a killed process to end; 0 means 5 s.
	KillTimeout time.Duration
	// StartPlatform starts the object API with the document as its configuration.
	StartPlatform func(ctx context.Context, doc fleet.Document, env Environment) (*Platform, error)
	// StartSidecar starts the sidecar of an upstream; nil for a system without sidecars.
	StartSidecar func(ctx context.Context, spec SidecarSpec, p *Platform, env Environment) (*Process, error)
	// StartEntry starts an entry.
	StartEntry func(ctx context.Context, spec EntrySpec, p *Platform, env Environment) (*Process, error)
}

// Environment holds what all processes of a run share.
type Environment struct {
	Secret string
	Seed   uint64
	Logger *log.Logger
	// Entries is the number of entries of the topology.
	Entries int
	// Upstreams lists the upstreams with their addresses, for systems without sidecars.
	Upstreams []UpstreamAddress
	// Network opens the connections of the processes under test.
	Network *Network
}

// UpstreamAddress is an upstream and its address.
type UpstreamAddress struct {
	UpstreamSpec
	// URL is the scheme, host and port of the upstream.
	URL string
}

// Platform is the object API of a run. Names of scenarios, windows and actions call it the
// store.
type Platform struct {
	// URL is the scheme, host and port of the API, or empty when the system has none.
	URL string
	// Commit makes the document the active configuration.
	Commit func(ctx context.Context, doc fleet.Document) error
	// PutInstance and RemoveInstance change the object API's list of instances; nil
	// when the system has no list. They must be safe for concurrent use.
	PutInstance    func(ctx context.Context, r fleet.InstanceRecord) error
	RemoveInstance func(ctx context.Context, name string) error
	// SetFaults replaces the injected faults of the API; nil when it supports none.
	SetFaults func(PlatformFaults)
	// Calls returns the number of calls to the API; nil when they are not counted.
	Calls func() int64
	Close func()
}

// PlatformFaults are injected faults of the object API. The zero value has none.
type PlatformFaults struct {
	Down bool
	// DelayMs delays each reply, in milliseconds.
	DelayMs int64
	// LoseRatio is the fraction of the replies, from 0 to 1, that are lost after the
	// change took effect.
	LoseRatio float64
}

// SidecarSpec is a sidecar to start.
type SidecarSpec struct {
	Name     string
	Upstream UpstreamAddress
	// Listen is the IP address and port to listen on; empty picks a free port.
	Listen string
}

// EntrySpec is an entry to start.
type EntrySpec struct {
	Name          string
	FailureDomain string
	// Listen is the IP address and port for callers; empty picks a free port.
	Listen string
}

// Process is a started process of the system under test.
type Process struct {
	Name string
	// URL is the scheme, host and port for callers of an entry.
	URL string
	// Record is the record of the process in the object API's list of instances.
	Record fleet.InstanceRecord
	// Leave shuts the process down gracefully and returns once it has ended.
	Leave func(ctx context.Context) error
	// Kill ends the process immediately and closes its connections.
	Kill func()
	// Ready returns nil once the process serves. A nil function means that the process is
	// ready as soon as it has started.
	Ready func(ctx context.Context) error
	// Generation returns the active generation of the process; nil when it has none.
	Generation func() uint64
	// Configuration returns the active document and its generation, and Commit replaces
	// the document of the base generation, as operators do at an entry. Commit returns
	// ErrRefused if it changed nothing. Both are nil for a process without an operators' API.
	Configuration func(ctx context.Context) (fleet.Document, uint64, error)
	Commit        func(ctx context.Context, base uint64, doc fleet.Document) (uint64, error)

	// ended is set when the process is killed or its shutdown begins.
	ended atomic.Bool
}
