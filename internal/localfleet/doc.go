// Package localfleet runs entries, sidecars and the platform's stand-in within one
// process on loopback, for the demonstration, the experiments and tests. The roles
// are the same as those of separate processes and talk over TCP.
//
// # Usage
//
//	f, err := localfleet.New(ctx, localfleet.Config{Secret: secret})
//	defer f.Close()
//	err = f.Platform().Commit(ctx, doc)
//	s, err := f.StartSidecar(ctx, localfleet.SidecarSpec{Upstream: "runner-1", Stage: "generate", FailureDomain: "fd-a", UpstreamURL: url})
//	e, err := f.StartEntry(ctx, localfleet.EntrySpec{Name: "entry-1", FailureDomain: "fd-a"})
package localfleet
