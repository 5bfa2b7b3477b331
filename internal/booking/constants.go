package booking

import "time"

// Limits of claims and of the objects that store them.
const (
	// Retention is how long claims and outcomes are kept.
	Retention = 24 * time.Hour
	// ClaimClockMargin is added to Retention before a claim is removed, because the clocks
	// of the entry that wrote it and the entry that removes it differ.
	ClaimClockMargin = time.Hour
	// Partitions is the number of objects that store finished claims. All entries must use
	// the same value, because it determines which object stores a key.
	Partitions = 1024
	// Segments is the number of objects that accept new claims. With few objects, one
	// write combines the changes of many keys. All entries must use the same value.
	Segments = 4
	// SegmentBurst is the number of writes of a segment that an idle entry may send at
	// once, without waiting for SegmentInterval between them.
	SegmentBurst = 3
	// SegmentInterval is the time between two writes of a segment by an entry under load.
	// Changes that arrive in between are combined in the next write.
	SegmentInterval = 80 * time.Millisecond
	// MaxSegmentBytes is the size of a segment above which new claims are refused.
	MaxSegmentBytes = 512 << 10
	// MinCompactedBytes is the size of a segment above which finished claims are moved out
	// of it.
	MinCompactedBytes = 32 << 10
	// CompactionInterval is the time between two compactions of a segment by one entry
	// while the segment is less than half full.
	CompactionInterval = 2 * time.Second
	// CompactionBatch is the maximum number of partitions written by one compaction.
	CompactionBatch = 4
	// CompactionCost is the number of claims that an entry must decide for each partition
	// that it writes; it is 1 for a segment that is more than half full. It bounds the
	// writes of all entries together, regardless of how many entries there are.
	CompactionCost = 2
	// MaxCompactionCredit is the maximum number of decided claims that are saved up for
	// later compactions.
	MaxCompactionCredit = 4096
	// MaxPartitionReads is the maximum number of partitions read for one write of a
	// segment.
	MaxPartitionReads = 16
	// MaxPartitionBytes is the size of a partition above which new keys in it are refused.
	MaxPartitionBytes = 768 << 10
	// MaxOutcomeBytes is the size of a segment above which outcomes are recorded without
	// reason and answer, and the size of a partition up to which finished claims are moved
	// to it. The rest of the platform's limit of 1 MB is reserved for outcomes without
	// reason and answer of all claims that fit under MaxPartitionBytes. A full segment has
	// fewer claims.
	MaxOutcomeBytes = 800 << 10
	// MaxAnswerBytes is the maximum size of a recorded answer.
	MaxAnswerBytes = 4 << 10
	// MaxClaimWait is the age above which a claim is no longer written. It exceeds the
	// longest deadline. The retention of a claim written later could end too soon.
	MaxClaimWait = 15 * time.Minute
	// MaxOwnedClaims is the maximum number of claims that one entry owns or waits for.
	MaxOwnedClaims = 100_000
	// MaxBatchChanges is the maximum number of changes in one write.
	MaxBatchChanges = 512
	// MaxViewBytes bounds the memory of the partition views that one entry caches.
	MaxViewBytes = 4 << 20
	// UncachedWritesAfterConflict is the number of writes of a claim object that read the
	// object first, after another entry changed it. A write based on an outdated copy
	// fails and still costs a write, and the platform allows fewer writes than reads.
	UncachedWritesAfterConflict = 16
	// MaxConflicts is the number of consecutive conflicts after which a write is delayed.
	MaxConflicts = 3
)

// Delays between retries of a failed write of a claim object.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// recordOverhead bounds the encoded size of a claim without its outcome and owner, of an
// owner without its incarnation and address, and of an object without claims.
const recordOverhead = 96

// Limits of tickets.
const (
	// TicketPrefix starts every ticket and distinguishes it from a caller's own key.
	TicketPrefix = "tkt1."
	// TicketLifetime is the time after its issue within which a ticket must first be used.
	TicketLifetime = 15 * time.Minute
	// MaxTicketLength is the maximum length of a ticket in bytes. Longer ones are rejected
	// without being parsed.
	MaxTicketLength = 512
	// MaxTicketBytes bounds the memory of used tickets and their outcomes.
	MaxTicketBytes = 16 << 20
	// ticketOverhead is the memory of one used ticket without its outcome, in bytes.
	ticketOverhead = 256
)

// Limits of attempts.
const (
	// AttemptClockMargin is how long after its deadline an attempt may still begin by the
	// sidecar's clock. It covers the difference between the clocks.
	AttemptClockMargin = 2 * time.Minute
	// MaxDeadlineAhead is how far in the future an attempt's deadline may be.
	MaxDeadlineAhead = 10*time.Minute + AttemptClockMargin
	// MaxAttempts is the maximum number of attempts that are remembered.
	MaxAttempts = 200_000
	// MaxAttemptBytes bounds the memory of the answers of finished attempts.
	MaxAttemptBytes = 16 << 20
)
