package exchange

import (
	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/membership"
)

// Digest says what a process has.
type Digest struct {
	Generation uint64
	// Membership is the digest of the table of instances; it is 0 from and for a sidecar.
	Membership uint64
	// PlatformAge is how long ago the process or a peer of it heard of the platform,
	// in tenths of a second; at most MaxUint32.
	PlatformAge uint32
}

// DigestRequest compares the caller's digest with the callee's.
type DigestRequest struct {
	Digest Digest
	// Known is the hash of what the caller takes for the callee's own statement.
	Known uint64
	// Rumours are changed parts of records, the most important first.
	Rumours membership.Gossip
}

// DigestReply is the callee's digest after it has taken in the rumours of the call.
type DigestReply struct {
	Digest  Digest
	Rumours membership.Gossip
	// Unheard is how long ago a sidecar was last confirmed before the call, in tenths
	// of a second; at most MaxUint32, and 0 before the first time.
	Unheard uint32
	// Self is the callee's own statement if it is another one than Known.
	Self *membership.SelfState
}

// PullRequest asks for a configuration that is newer than the given one.
type PullRequest struct {
	// Generation is the caller's; 0 asks for a complete head.
	Generation uint64
}

// PullReply carries a newer head and as many of its changed sections as fit
// MaxTransferBytes.
type PullReply struct {
	Delta configuration.HeadDelta
	// Patches make changed sections of those that the caller has.
	Patches []configuration.Patch
	// Sections are in their stored form.
	Sections [][]byte
}

// SectionsRequest asks for sections by hash, at most MaxSectionHashes.
type SectionsRequest struct {
	Hashes []string
}

// SectionsReply carries those of the sections that the callee has and that fit
// MaxTransferBytes.
type SectionsReply struct {
	Sections [][]byte
}

// PushRequest brings a newer head and sections of it, at most MaxTransferBytes, some
// of them as patches of sections that the callee has.
type PushRequest struct {
	Delta    configuration.HeadDelta
	Patches  []configuration.Patch
	Sections [][]byte
}

// PushReply says what the callee still needs.
type PushReply struct {
	// Generation is the callee's after the push.
	Generation uint64
	// NeedsComplete asks for a complete head, because the delta has another base.
	NeedsComplete bool
	// Missing are the hashes of sections that the callee lacks, at most MaxSectionHashes.
	Missing []string
}

// MembersRequest compares the tables of instances by bucket.
type MembersRequest struct {
	Buckets []byte
	// Limit is the number of bytes of summaries that the caller's budget allows; 0 is
	// no limit and asked for by a process whose table has never been filled.
	Limit int
}

// MembersReply names buckets that differ, as many as both budgets allow, and summarises the callee's instances in them.
type MembersReply struct {
	Differing []byte
	Summaries []byte
}

// SyncRequest brings records and asks for others by key, at most membership.MaxRecords each.
type SyncRequest struct {
	Records []membership.Record
	Want    []uint32
	// Filling is set by a process whose table has never been filled; the budgets
	// don't bound how fast it is.
	Filling bool
}

// SyncReply carries the wanted records and those that are newer than what was brought.
type SyncReply struct {
	Records []membership.Record
}
