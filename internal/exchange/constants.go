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
	// DefaultPeriod is the shortest time between two rounds.
	DefaultPeriod = 250 * time.Millisecond
	// DefaultSidecarPeriod is the shortest time between two digests to one owned sidecar.
	DefaultSidecarPeriod = time.Second
	// DefaultBudgetBytesPerSecond is the number of bytes per second that the digests of a node may
	// take, in both directions and with the headers of TCP and IP. An instance may
	// spend 2,000 on all control; changes take the rest.
	DefaultBudgetBytesPerSecond = 1500
)

const (
	// MaxPeriod bounds how far the budget stretches the time between two rounds.
	// Every process must hear of another within FreshnessTimeout.
	MaxPeriod = time.Second
	// MaxSidecarPeriod bounds how far the budget stretches the time between two digests
	// of the first owner to a sidecar. With a tick and the time of a call it stays under FreshnessTimeout.
	MaxSidecarPeriod = 2250 * time.Millisecond
	// sidecarTick is the time between two looks for sidecars that are due.
	sidecarTick = 250 * time.Millisecond
	// shortestShare is the part of its period after which a sidecar can be due. The
	// part differs from digest to digest, so that they don't come in bursts.
	shortestShare = 0.9
	// standbyPeriods is the period of a second owner in periods of a first one. When
	// the first owner dies, the second takes its place when the sidecar tells that it has
	// heard of nobody for FreshnessTimeout, for standInTime, or when the first is doubted.
	standbyPeriods = 3
	standInTime    = 30 * time.Second
	// heardPeriod is the time between two digests of the first owner to a sidecar that
	// replies to other calls.
	heardPeriod = 2500 * time.Millisecond
	// FreshnessTimeout is the time without confirmation after which a configuration is
	// possibly out of date.
	FreshnessTimeout = 3 * time.Second
	// ownedLife is the shortest time between two computations of the owned sidecars,
	// which take some milliseconds at 3,310 instances.
	ownedLife = time.Second
	// DigestExchangeBytes is the size of one exchange of equal digests with the headers of
	// TCP and IP in three packets.
	DigestExchangeBytes = 250
	// fanout is the number of entries that a round calls, hotFanout that of a round
	// after news, and hotRounds the number of such rounds.
	fanout    = 1
	hotFanout = 3
	hotRounds = 3
	// partnerCount is the number of other entries that a node calls in its rounds, and
	// partnerLife the time after which it takes another one in place of one of them.
	// Calls to all entries in turn would keep a connection to each of them open.
	partnerCount = 8
	partnerLife  = time.Minute
	// missesToDoubt is the number of digests in a row that an entry leaves
	// unanswered before it is doubted.
	missesToDoubt = 2
	// doubtedRounds is the number of rounds of which one on average calls doubted entries.
	doubtedRounds = 8
	// repairBytes is the size of a comparison of buckets and an exchange of records
	// without the summaries and records, with the headers of TCP and IP, and
	// minRepairBytes what the budget must hold before they are worth it.
	repairBytes    = 800
	minRepairBytes = 2 << 10
	// typicalRecordBytes is about the size of a whole record in a message.
	typicalRecordBytes = 250
	// fluxTime is how long an entry that hears rumours puts off the comparison of
	// buckets, because the rumours under way settle most of the difference.
	fluxTime = 5 * time.Second
	// newsJitter bounds the random delay of the first round after news.
	newsJitter = 20 * time.Millisecond
	// newsGap is the shortest time between two rounds that news starts.
	newsGap = 100 * time.Millisecond
	// callTimeout bounds one call.
	callTimeout = time.Second
	// refreshPeers is the number of peers that Bootstrap and Refresh ask.
	refreshPeers = 3
	// bootstrapDelay is the mean pause between two attempts to get a first configuration.
	bootstrapDelay = 500 * time.Millisecond
)

// Bounds of messages.
const (
	// MaxTransferBytes is the size of the sections of one message.
	MaxTransferBytes = 1 << 20
	// MaxSectionHashes is the largest number of sections that one call asks for.
	MaxSectionHashes = 1024
	// maxTransfers is the largest number of calls that one transfer takes.
	maxTransfers = 64
	// maxStagedBytes bounds the sections that a process keeps for a head that is not
	// complete yet.
	maxStagedBytes = 16 << 20
	// maxSyncs is the largest number of calls of one exchange of records.
	maxSyncs = 32
)
