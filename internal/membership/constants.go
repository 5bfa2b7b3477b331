package membership

import "time"

const (
	// BucketCount is the number of buckets of records whose hashes peers compare.
	BucketCount = 64
	// bucketStride is how many buckets the start of a size-limited comparison advances
	// each time.
	bucketStride = 23
	// bucketHashBytes is the size of one bucket's hash in a message.
	bucketHashBytes = 4
	// summaryBytes is the size of the summary of one record: 4 bytes of the hash of
	// its name and 4 bytes of the hash of its content.
	summaryBytes = 8
	// MaxRecords is the maximum number of records in one message.
	MaxRecords = 256
	// MaxTableRecords limits the table in case a peer sends made-up records.
	MaxTableRecords = 65_536
	// maxFieldBytes is the maximum length of a text field of a record.
	maxFieldBytes = 253
)

const (
	// WatcherCount is the number of entries that watch the platform.
	WatcherCount = 3
	// watchStaleAfter is how long after its last event a watch still counts as current.
	// Kubernetes servers send a bookmark about once a minute.
	watchStaleAfter = 75 * time.Second
	// watcherDoublingInterval is the time without contact of any entry with the platform
	// after which the number of watchers doubles. All watchers can fail at once, and
	// only a watcher receives the removal of another one from the platform. The
	// interval is longer than gossip takes to reach all entries, which is up to 10
	// rounds of less than a second for 610 entries.
	watcherDoublingInterval = 10 * time.Second
	// electionPeriod is the time between two checks whether this process is a watcher.
	electionPeriod = time.Second
	// watchReleaseDelay is how long a process that is no longer a watcher continues to watch.
	watchReleaseDelay = 10 * time.Second
	// unlistedGrace is how long an instance that reported itself may be absent from the
	// platform's list, which lags, before it is treated as removed.
	unlistedGrace = 2 * time.Minute
	// tombstoneTTL is how long the removal of an instance is kept, so that a peer that
	// was partitioned does not bring the instance back.
	tombstoneTTL = 15 * time.Minute
)

// Limits of gossip. An instance may use 2,000 bytes per second of control traffic in
// the long run; digests take 1,500 of them and changes of the configuration about 200.
const (
	// GossipBytesPerSecond is the long-run rate of rumours and repairs together.
	GossipBytesPerSecond = 300
	// GossipBurstBytes is the burst size. It is enough for the suspicions of two failure
	// domains of 154 entries, because a second one can fail before the budget has
	// recovered from the first. Each domain takes an entry about 15 KB: 8 bytes per
	// suspicion, which the entry sends up to rumourSends times and receives about as often.
	GossipBurstBytes = 32 << 10
	// suspicionBytes is the size of the short form of a suspicion.
	suspicionBytes = 8
	// urgentReserveBytes is how far urgent rumours may overdraw the budget. The debt is
	// repaid before other rumours are sent.
	urgentReserveBytes = 8 << 10
	// rumourSends is the number of peers to which a process sends a rumour; for an
	// urgent one it is urgentSends.
	rumourSends = 6
	urgentSends = 12
	// maxRumours is the number of rumours from which on only leaving instances, removals
	// and suspicions are added.
	maxRumours = 1024
	// recordOverheadBytes and instanceOverheadBytes are the approximate sizes, in a
	// message, of the numbers of a record and of the lengths of an instance's fields.
	recordOverheadBytes   = 16
	instanceOverheadBytes = 16
)
