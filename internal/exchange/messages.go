package exchange

import (
	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/membership"
)

// Digest summarises the state of a process.
type Digest struct {
	Generation uint64
	// Membership is the digest of the table of instances, or 0 if sent by or to a sidecar.
	Membership uint64
	// PlatformAge is the time since the process or one of its peers last received data
	// from the platform, in tenths of a second; at most MaxUint32.
	PlatformAge uint32
}

// DigestRequest compares the caller's digest with the callee's.
type DigestRequest struct {
	Digest Digest
	// Known is the hash of the callee's self-reported state that the caller has.
	Known uint64
	// Rumours are the changed parts of records, the most important ones first.
	Rumours membership.Gossip
}

// DigestReply carries the callee's digest after it has applied the rumours of the request.
type DigestReply struct {
	Digest  Digest
	Rumours membership.Gossip
	// Unheard is sent by sidecars: the time from the last confirmation of their
	// configuration to this call, in tenths of a second; at most MaxUint32, and 0 before the
	// first confirmation.
	Unheard uint32
	// Self is the callee's self-reported state if its hash differs from Known.
	Self *membership.SelfState
}

// PullRequest requests a configuration that is newer than the given generation.
type PullRequest struct {
	// Generation is the caller's generation; 0 requests a complete head.
	Generation uint64
}

// PullReply carries a newer head and as many of its changed sections as fit: patches with
// at most MaxTransferBytes/2 of changed bytes, and at most MaxTransferBytes of complete
// sections.
type PullReply struct {
	Delta configuration.HeadDelta
	// Patches produce changed sections from those that the caller has.
	Patches []configuration.Patch
	// Sections are complete sections in their stored form.
	Sections [][]byte
}

// SectionsRequest requests sections by hash, at most MaxSectionHashes.
type SectionsRequest struct {
	Hashes []string
}

// SectionsReply carries the requested sections that the callee has, as many as fit into
// MaxTransferBytes.
type SectionsReply struct {
	Sections [][]byte
}

// PushRequest carries a newer head and sections of it: patches of sections that the callee
// has, with at most MaxTransferBytes/2 of changed bytes, and at most MaxTransferBytes of
// complete sections.
type PushRequest struct {
	Delta    configuration.HeadDelta
	Patches  []configuration.Patch
	Sections [][]byte
}

// PushReply reports what the callee still needs.
type PushReply struct {
	// Generation is the callee's generation after the push.
	Generation uint64
	// NeedsComplete requests a complete head, because the delta's base is not the callee's
	// generation.
	NeedsComplete bool
	// Missing are the hashes of sections that the callee lacks, at most MaxSectionHashes.
	Missing []string
}

// MembersRequest compares the tables of instances by bucket.
type MembersRequest struct {
	Buckets []byte
	// Limit is the number of bytes of summaries that the caller's budget allows; 0 means
	// no limit and is sent by a process whose table has never been filled.
	Limit int
}

// MembersReply lists buckets that differ, as many as both budgets allow, and summarises
// the callee's instances in them.
type MembersReply struct {
	Differing []byte
	Summaries []byte
}

// SyncRequest carries records and requests others by key, at most membership.MaxRecords
// each.
type SyncRequest struct {
	Records []membership.Record
	Want    []uint32
	// Filling is set by a process whose table has never been filled; its transfer is not
	// limited by the budgets.
	Filling bool
}

// SyncReply carries the requested records and those that are newer than the ones in the
// request.
type SyncReply struct {
	Records []membership.Record
}
