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

// System is a way to run a topology. Every function gives back a started process
// or an error, and must leave nothing behind when it fails.
type System struct {
	// Name is the system's name in reports.
	Name string
	// KillTimeout bounds the end of a process that is killed; 0 is 5 s.
	KillTimeout time.Duration
	// StartPlatform starts the object API with the document as its configuration.
	StartPlatform func(ctx context.Context, doc fleet.Document, env Environment) (*Platform, error)
	// StartSidecar starts the sidecar of an upstream; nil leaves sidecars out.
	StartSidecar func(ctx context.Context, spec SidecarSpec, p *Platform, env Environment) (*Process, error)
	// StartEntry starts an entry.
	StartEntry func(ctx context.Context, spec EntrySpec, p *Platform, env Environment) (*Process, error)
}

// Environment is what all processes of a run share.
type Environment struct {
	Secret string
	Seed   uint64
	Logger *log.Logger
	// Entries is the number of entries of the topology.
	Entries int
	// Upstreams are the upstreams with their addresses, for systems without sidecars.
	Upstreams []UpstreamAddress
	// Network opens the connections of the processes under test.
	Network *Network
}

// UpstreamAddress is an upstream and where it listens.
type UpstreamAddress struct {
	UpstreamSpec
	// URL is the scheme, host and port of the upstream.
	URL string
}

// Platform is the object API of a run.
type Platform struct {
	// URL is the scheme, host and port of the API, or empty when the system has none.
	URL string
	// Commit makes the document the configuration in force.
	Commit func(ctx context.Context, doc fleet.Document) error
	// PutInstance and RemoveInstance change the platform's list of instances; nil
	// when the system has no list. They are called from several goroutines.
	PutInstance    func(ctx context.Context, r fleet.InstanceRecord) error
	RemoveInstance func(ctx context.Context, name string) error
	// SetFaults changes how the API fails; nil when it can't.
	SetFaults func(PlatformFaults)
	// Calls returns the calls that the API has counted; nil counts none.
	Calls func() int64
	Close func()
}

// PlatformFaults are failures of the object API. The zero value is a healthy one.
type PlatformFaults struct {
	Down bool
	// DelayMs delays each reply, in milliseconds.
	DelayMs int64
	// LoseRatio is the share of the replies, from 0 to 1, that are lost after the
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
	// Record is what the platform's list says of the process.
	Record fleet.InstanceRecord
	// Leave shuts the process down gracefully and returns once it has ended.
	Leave func(ctx context.Context) error
	// Kill ends the process at once and cuts its connections.
	Kill func()
	// Ready returns nil once the process serves; nil is ready at once.
	Ready func(ctx context.Context) error
	// Generation returns the generation in force in the process; nil when it has none.
	Generation func() uint64
	// Configuration returns the document in force and its generation, and Commit
	// replaces that of the base generation, as operators do at an entry. The error of
	// a commit that changed nothing is ErrRefused. Both are nil without operators.
	Configuration func(ctx context.Context) (fleet.Document, uint64, error)
	Commit        func(ctx context.Context, base uint64, doc fleet.Document) (uint64, error)

	// ended is set once the process was told to end.
	ended atomic.Bool
}
