package booking

import "time"

// Bounds of claims.
const (
	// Retention is how long claims and outcomes are kept.
	Retention = 24 * time.Hour
	// ClaimClockMargin is added to Retention before a claim is removed, because the
	// entry that removes it and the one that wrote it have different clocks.
	ClaimClockMargin = time.Hour
	// Partitions is the number of claim objects. All entries must agree on it,
	// because it says which object holds a key.
	Partitions = 1024
	// MaxClaimBytes is the size of a claim object over which new claims are refused.
	MaxClaimBytes = 768 << 10
	// MaxOutcomeBytes is the size of a claim object over which outcomes are recorded
	// as bare executions. The rest of the platform's 1 MB is left for those of all
	// claims that fit under MaxClaimBytes.
	MaxOutcomeBytes = 800 << 10
	// MaxAnswerBytes is the longest answer that is recorded.
	MaxAnswerBytes = 4 << 10
	// MaxClaimWait is the age over which a claim is not written any more. It is over the
	// longest deadline; the retention of a claim written later could end too soon.
	MaxClaimWait = 15 * time.Minute
	// MaxHeld is the number of claims that one entry holds or waits for.
	MaxHeld = 100_000
	// MaxGroup is the number of changes in one write.
	MaxGroup = 512
	// MaxCacheBytes bounds the contents of claim objects that one entry keeps between writes.
	MaxCacheBytes = 4 << 20
	// UncachedWrites is the number of writes of a claim object for which an entry reads
	// it first, after another entry had changed it. A write from an old copy fails and
	// costs a write, which the platform takes fewer of than reads.
	UncachedWrites = 16
	// MaxConflicts is the number of conflicts in a row after which a write waits.
	MaxConflicts = 3
	// Workers is the number of claim objects that one entry writes at a time.
	Workers = 16
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
	// MaxAttemptAhead is how far ahead an attempt's deadline may be.
	MaxAttemptAhead = 10*time.Minute + AttemptClockMargin
	// MaxAttempts is the number of attempts that are remembered.
	MaxAttempts = 200_000
	// MaxAttemptBytes bounds the memory of the answers of finished attempts.
	MaxAttemptBytes = 16 << 20
)
