// Package proof tests the system with real processes: entries, sidecars and the
// stand-ins of the platform and the upstreams, connected over loopback through
// proxies that inject faults, and killed, stopped and terminated by signals.
//
// The scripts are in testdata/script. Each guards against violations of one of the
// invariants of docs/design.md; docs/proof.md lists the mutations that they catch.
//
// # Usage
//
//	go test ./internal/proof -run TestScripts/lostReply
package proof
