package exchange

import "time"

// ServiceName is the name of the rpc service.
const ServiceName = "Exchange"

// Methods of the service.
const (
	MethodDigest   = ServiceName + ".Digest"
	MethodPull     = ServiceName + ".Pull"
	MethodSections = ServiceName + ".Sections"
	MethodPush     = ServiceName + ".Push"
	MethodMembers  = ServiceName + ".Members"
	MethodSync     = ServiceName + ".Sync"
)

// Defaults of Config.
const (
	// DefaultPeriod is the mean time between two rounds without updates, unless the budget
	// extends it. Each time is random, from 0.8 to 1.2 of the mean.
	DefaultPeriod = 250 * time.Millisecond
	// DefaultSidecarPeriod is the period of the digests of the primary owner to a sidecar,
	// unless the budget extends it. The sidecar is due again after a random fraction of the
	// period since its last reply, from minPeriodFraction to 1.
	DefaultSidecarPeriod = time.Second
	// DefaultBudgetBytesPerSecond is the traffic of the digests of a node, in both
	// directions and including the headers of TCP and IP. The limit for all control
	// traffic of an instance is 2,000 bytes per second; changes use the remainder.
	DefaultBudgetBytesPerSecond = 1500
)

const (
	// MaxPeriod is the maximum mean time between two rounds, to which the budget can extend
	// it. Every process must exchange with another within FreshnessTimeout.
	MaxPeriod = time.Second
	// MaxSidecarPeriod is the maximum period of the digests of the primary owner to a
	// sidecar, to which the budget can extend it. Together with sidecarCheckInterval it
	// leaves 500 ms of FreshnessTimeout for the call; callTimeout allows more than that.
	MaxSidecarPeriod = 2250 * time.Millisecond
	// sidecarCheckInterval is the time between two checks for sidecars that are due.
	sidecarCheckInterval = 250 * time.Millisecond
	// minPeriodFraction is the fraction of its period after which a sidecar can be due.
	// The fraction is random for each digest, so that digests don't come in bursts.
	minPeriodFraction = 0.9
	// standbyPeriodFactor is the ratio of a standby owner's period to that of a primary
	// owner. After the primary owner fails, the standby owner takes over for
	// takeoverDuration when the sidecar reports no confirmation for FreshnessTimeout, or
	// becomes the primary owner when the failed one is suspected.
	standbyPeriodFactor = 3
	takeoverDuration    = 30 * time.Second
	// replyingSidecarPeriod is the time between two digests of the primary owner to a
	// sidecar that replies to other calls.
	replyingSidecarPeriod = 2500 * time.Millisecond
	// FreshnessTimeout is the time without confirmation after which a configuration is
	// possibly stale.
	FreshnessTimeout = 3 * time.Second
	// minOwnedRefreshInterval is the minimum time between two computations of the owned
	// sidecars, each of which takes some milliseconds at 3,310 instances.
	minOwnedRefreshInterval = time.Second
	// DigestExchangeBytes is the size of one exchange of equal digests, including the
	// headers of TCP and IP of three packets.
	DigestExchangeBytes = 250
	// fanout is the number of entries called per round. After an update, burstRounds
	// rounds call burstFanout entries each.
	fanout      = 1
	burstFanout = 3
	burstRounds = 3
	// activePeerCount is the number of other entries that a node calls in its rounds, and
	// activePeerLifetime the time after which it replaces one of them. Calls to all
	// entries in turn would keep a connection open to each of them.
	activePeerCount    = 8
	activePeerLifetime = time.Minute
	// missesToSuspect is the number of consecutive digests without a reply after which an
	// entry is suspected.
	missesToSuspect = 2
	// suspectedProbeRounds is the mean number of rounds between calls to suspected entries.
	suspectedProbeRounds = 8
	// repairOverheadBytes is the size of a comparison of buckets and an exchange of records,
	// including the headers of TCP and IP but not the summaries and records.
	// minRepairBytes is the minimum available budget for starting them.
	repairOverheadBytes = 800
	minRepairBytes      = 2 << 10
	// typicalRecordBytes is the approximate size of a complete record in a message.
	typicalRecordBytes = 250
	// gossipSettleTime is the time for which an entry that exchanges rumours defers the
	// comparison of buckets, because rumours in transit remove most of the differences.
	gossipSettleTime = 5 * time.Second
	// updateJitter is the maximum random delay of the first round after an update.
	updateJitter = 20 * time.Millisecond
	// minUpdateRoundGap is the minimum time between two rounds that updates start.
	minUpdateRoundGap = 100 * time.Millisecond
	// callTimeout is the time limit for one call.
	callTimeout = time.Second
	// refreshPeerCount is the number of peers that Bootstrap and Refresh query.
	refreshPeerCount = 3
	// bootstrapRetryDelay is the mean pause between two attempts to fetch the first
	// configuration.
	bootstrapRetryDelay = 500 * time.Millisecond
)

// Limits of messages.
const (
	// MaxTransferBytes is the maximum size of the complete sections in one message. Patches
	// add at most half of it.
	MaxTransferBytes = 1 << 20
	// MaxSectionHashes is the maximum number of section hashes in one call.
	MaxSectionHashes = 1024
	// maxTransferCalls is the maximum number of calls for one transfer of a configuration.
	maxTransferCalls = 64
	// maxStagedBytes is the maximum size of the sections that a process keeps for an
	// incomplete head.
	maxStagedBytes = 16 << 20
	// maxSyncCalls is the maximum number of Sync calls for one exchange of records.
	maxSyncCalls = 32
)
