package localfleet

import (
	"context"
	"encoding/json"
	"net/url"
	"os"
	"sync"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/roles"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/settings"
)

// secretVariable and operatorVariable are the environment variables from which the
// roles read their secrets.
const (
	secretVariable   = "LOCALFLEET_SECRET"
	operatorVariable = "LOCALFLEET_OPERATOR_KEY"
)

// Config configures a local fleet.
type Config struct {
	// Secret is the shared secret; OperatorKey is the operators' bearer key. Both
	// are at least 16 bytes long.
	Secret      string
	OperatorKey string
	Seed        uint64
	LogLevel    string
	// Settings override the common settings of the fleet; the settings of a single role
	// override them.
	Settings map[string]any
}

// Fleet is a running local fleet. It is safe for concurrent use.
type Fleet struct {
	cfg      Config
	platform *Platform

	mu       sync.Mutex
	entries  []*roles.EntryProcess
	sidecars []*roles.SidecarProcess
	peers    []string
}

// SidecarSpec describes a sidecar to start.
type SidecarSpec struct {
	// Name is the name of the instance.
	Name          string
	Upstream      string
	Stage         string
	FailureDomain string
	// UpstreamURL is the scheme, host and port of the upstream.
	UpstreamURL string
	// PeerListen is the address to listen on; an empty one selects a free port.
	PeerListen string
}

// EntrySpec describes an entry to start.
type EntrySpec struct {
	Name          string
	FailureDomain string
	// CallerListen is the address to listen on; an empty one selects a free port.
	CallerListen string
	// PlatformAddress is the IP address and port of the object API; an empty one selects
	// the stand-in of the fleet.
	PlatformAddress string
	// Dial opens the connections to other processes; nil opens TCP connections.
	Dial peer.DialFunc
}

// New returns a fleet without instances and starts the stand-in for the platform.
func New(ctx context.Context, cfg Config) (*Fleet, error) {
	if err := os.Setenv(secretVariable, cfg.Secret); err != nil {
		return nil, errors.Wrap(err, "setting the shared secret")
	}
	if err := os.Setenv(operatorVariable, cfg.OperatorKey); err != nil {
		return nil, errors.Wrap(err, "setting the operators' key")
	}
	p, err := startPlatform(ctx, cfg.Seed)
	if err != nil {
		return nil, err
	}
	return &Fleet{cfg: cfg, platform: p}, nil
}

// Platform returns the stand-in for the platform.
func (f *Fleet) Platform() *Platform { return f.platform }

// StartSidecar starts a sidecar without adding it to the platform's list of instances.
func (f *Fleet) StartSidecar(ctx context.Context, s SidecarSpec) (*roles.SidecarProcess, error) {
	upstream, err := hostOf(s.UpstreamURL)
	if err != nil {
		return nil, err
	}
	cfg, err := settings.NewSidecar(f.input(map[string]any{
		"name":          s.Name,
		"failureDomain": s.FailureDomain,
		"peerListen":    orFreePort(s.PeerListen),
		"upstream":      map[string]any{"name": s.Upstream, "stage": s.Stage, "address": upstream},
	}))
	if err != nil {
		return nil, err
	}
	p, err := roles.StartSidecar(ctx, cfg)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sidecars = append(f.sidecars, p)
	return p, nil
}

// StartEntry starts an entry with the earlier entries as its seed peers, without adding
// it to the platform's list of instances.
func (f *Fleet) StartEntry(ctx context.Context, s EntrySpec) (*roles.EntryProcess, error) {
	address := s.PlatformAddress
	if address == "" {
		address = f.platform.listener.Address()
	}
	f.mu.Lock()
	seeds := append([]string{}, f.peers...)
	f.mu.Unlock()
	cfg, err := settings.NewEntry(f.input(map[string]any{
		"name":           s.Name,
		"failureDomain":  s.FailureDomain,
		"peerListen":     freePort,
		"callerListen":   orFreePort(s.CallerListen),
		"operatorListen": freePort,
		"operatorKeyEnv": operatorVariable,
		"platform":       map[string]any{"address": address, "namespace": namespace},
		"seedPeers":      seeds,
	}))
	if err != nil {
		return nil, err
	}
	p, err := roles.StartEntry(ctx, cfg, s.Dial)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, p)
	f.peers = append(f.peers, p.PeerAddress())
	return p, nil
}

// input returns the settings of a role as the content of a settings file.
func (f *Fleet) input(roleSettings map[string]any) settings.Input {
	all := map[string]any{
		"secretEnv": secretVariable,
		"drain":     map[string]any{"delaySeconds": 0, "timeoutSeconds": 30},
		"logLevel":  f.cfg.LogLevel,
	}
	for k, v := range f.cfg.Settings {
		all[k] = v
	}
	for k, v := range roleSettings {
		all[k] = v
	}
	content, err := json.Marshal(all)
	if err != nil {
		// Maps of strings, numbers and lists can always be encoded.
		panic(err)
	}
	environ := []string{secretVariable + "=" + f.cfg.Secret, operatorVariable + "=" + f.cfg.OperatorKey}
	return settings.Input{File: "localfleet.json", Content: content, Environ: environ}
}

// EntryRecord returns the instance record of an entry.
func EntryRecord(s EntrySpec, p *roles.EntryProcess) fleet.InstanceRecord {
	return fleet.InstanceRecord{Name: s.Name, Role: fleet.RoleEntry, FailureDomain: s.FailureDomain, Address: p.PeerAddress(), Phase: fleet.PhaseLive}
}

// SidecarRecord returns the instance record of a sidecar.
func SidecarRecord(s SidecarSpec, p *roles.SidecarProcess) fleet.InstanceRecord {
	return fleet.InstanceRecord{
		Name:          s.Name,
		Role:          fleet.RoleSidecar,
		FailureDomain: s.FailureDomain,
		Address:       p.Address(),
		Stage:         s.Stage,
		Upstream:      s.Upstream,
		Phase:         fleet.PhaseLive,
	}
}

// Close stops every process immediately, without draining.
func (f *Fleet) Close() {
	f.mu.Lock()
	entries, sidecars := f.entries, f.sidecars
	f.entries, f.sidecars = nil, nil
	f.mu.Unlock()
	for _, p := range entries {
		p.Close()
	}
	for _, p := range sidecars {
		p.Close()
	}
	f.platform.close()
}

const freePort = "127.0.0.1:0"

func orFreePort(address string) string {
	if address == "" {
		return freePort
	}
	return address
}

func hostOf(rawURL string) (string, error) {
	u, err := url.Parse(rawURL)
	if err != nil {
		return "", errors.Wrap(err, "upstream URL")
	}
	return u.Host, nil
}
