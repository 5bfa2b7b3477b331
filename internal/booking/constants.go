package booking

import "time"

// Bounds of claims.
const (
	// Retention is how long claims and outcomes are kept.
	Retention = 24 * time.Hour
	// ClaimClockMargin is added to Retention before a claim is removed, because the
	// entry that removes it and the one that wrote it have different clocks.
	ClaimClockMargin = time.Hour
	// Partitions is the number of objects that keep finished claims. All entries must agree on it,
	// because it says which object holds a key.
	Partitions = 1024
	// Segments is the number of objects that take new claims. Few objects group the
	// changes of many keys in one write. All entries must agree on it.
	Segments = 4
	// SegmentBurst is the number of writes of a segment that one entry may send after a
	// pause without waiting for SegmentInterval in between.
	SegmentBurst = 3
	// SegmentInterval is the time between two writes of a segment by one busy entry.
	// Changes that arrive in between share the next write.
	SegmentInterval = 80 * time.Millisecond
	// MaxSegmentBytes is the size of a segment over which new claims are refused.
	MaxSegmentBytes = 512 << 10
	// MinCompactedBytes is the size over which finished claims are moved out of a segment.
	MinCompactedBytes = 32 << 10
	// CompactionInterval is the time between two compactions of a segment by one entry
	// while the segment is less than half full.
	CompactionInterval = 2 * time.Second
	// CompactionBatch is the number of partitions that one compaction writes.
	CompactionBatch = 4
	// CompactionCost is the number of claims that an entry decides for each partition
	// that it writes; it is 1 for a segment that is half full. It bounds the writes of
	// all entries together, however many they are.
	CompactionCost = 2
	// MaxCompactionCredit is the number of claims that count for later compactions.
	MaxCompactionCredit = 4096
	// MaxPartitionReads is the number of partitions that one write of a segment reads.
	MaxPartitionReads = 16
	// MaxPartitionBytes is the size of a partition over which its new keys are refused.
	MaxPartitionBytes = 768 << 10
	// MaxOutcomeBytes is the size of a claim object over which outcomes are recorded
	// as bare executions. The rest of the platform's 1 MB is left for those of all
	// claims that fit under MaxPartitionBytes.
	MaxOutcomeBytes = 800 << 10
	// MaxAnswerBytes is the longest answer that is recorded.
	MaxAnswerBytes = 4 << 10
	// MaxClaimWait is the age over which a claim is not written any more. It is over the
	// longest deadline; the retention of a claim written later could end too soon.
	MaxClaimWait = 15 * time.Minute
	// MaxHeldClaims is the number of claims that one entry holds or waits for.
	MaxHeldClaims = 100_000
	// MaxBatchChanges is the number of changes in one write.
	MaxBatchChanges = 512
	// MaxViewBytes bounds the views of partitions that one entry keeps.
	MaxViewBytes = 4 << 20
	// UncachedWritesAfterConflict is the number of writes of a claim object for which an entry reads
	// it first, after another entry had changed it. A write from an old copy fails and
	// costs a write, which the platform takes fewer of than reads.
	UncachedWritesAfterConflict = 16
	// MaxConflicts is the number of conflicts in a row after which a write waits.
	MaxConflicts = 3
)

// Delays between the tries of a claim object whose write failed.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// recordOverhead bounds the encoded size of a claim without its outcome and holder,
// of a holder without its names, and of an object without claims.
const recordOverhead = 96

// Bounds of tickets.
const (
	// TicketPrefix starts every ticket and tells it from a caller's own key.
	TicketPrefix = "tkt1."
	// TicketLifetime is the time from the issue of a ticket in which it must first be used.
	TicketLifetime = 15 * time.Minute
	// MaxTicketLength is the longest ticket that is looked at, in bytes.
	MaxTicketLength = 512
	// MaxTicketBytes bounds the memory of used tickets and their outcomes.
	MaxTicketBytes = 16 << 20
	// ticketOverhead is the memory of one used ticket without its outcome.
	ticketOverhead = 256
)

// Bounds of attempts.
const (
	// AttemptClockMargin is how long after its deadline an attempt may still begin by
	// the sidecar's clock. It covers the difference of the clocks.
	AttemptClockMargin = 2 * time.Minute
	// MaxDeadlineAhead is how far ahead an attempt's deadline may be.
	MaxDeadlineAhead = 10*time.Minute + AttemptClockMargin
	// MaxAttempts is the number of attempts that are remembered.
	MaxAttempts = 200_000
	// MaxAttemptBytes bounds the memory of the answers of finished attempts.
	MaxAttemptBytes = 16 << 20
)
