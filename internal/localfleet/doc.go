// Package localfleet runs entries, sidecars and the stand-in for the platform in one
// process on loopback, for the demonstration, the experiments and tests. The code is
// that of roles in separate processes, and the roles communicate over TCP too.
//
// # Usage
//
//	f, err := localfleet.New(ctx, localfleet.Config{Secret: secret, OperatorKey: operatorKey})
//	defer f.Close()
//	err = f.Platform().Commit(ctx, doc)
//	s, err := f.StartSidecar(ctx, localfleet.SidecarSpec{Name: "sidecar-1", Upstream: "runner-1", Stage: "generate", FailureDomain: "fd-a", UpstreamURL: url})
//	e, err := f.StartEntry(ctx, localfleet.EntrySpec{Name: "entry-1", FailureDomain: "fd-a"})
package localfleet
