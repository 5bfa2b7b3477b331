package membership

import "time"

const (
	// BucketCount is the number of buckets of which peers compare the hashes.
	BucketCount = 64
	// bucketStride is how far the first bucket of a bounded comparison moves each time.
	bucketStride = 23
	// bucketHashBytes is the size of one bucket's hash in a message.
	bucketHashBytes = 4
	// summaryBytes is the size of the summary of one record: 4 bytes of the hash of
	// its name and 4 bytes of the hash of its content.
	summaryBytes = 8
	// MaxRecords is the largest number of records of one message.
	MaxRecords = 256
	// MaxTableRecords bounds the table against a peer that invents records.
	MaxTableRecords = 65_536
	// maxFieldBytes is the longest text field of a record.
	maxFieldBytes = 253
)

const (
	// WatcherCount is the number of entries that watch the platform.
	WatcherCount = 3
	// watchTrust is how long a watch counts as open after its last event. Kubernetes
	// servers send a bookmark about once a minute.
	watchTrust = 75 * time.Second
	// dutyPatience is how long nobody may have heard of the platform before twice as
	// many entries watch it. All watchers can be dead at once, and only a watcher
	// learns from the platform that another one is gone. At 610 entries the news takes
	// up to 10 rounds of less than a second.
	dutyPatience = 10 * time.Second
	// dutyPeriod is the time between two checks of the duty.
	dutyPeriod = time.Second
	// dutyRelease is how long an entry goes on watching after its duty ended.
	dutyRelease = 10 * time.Second
	// unlistedGrace is how long an instance that spoke for itself may be absent from
	// the platform's list, which lags, before it is taken for removed.
	unlistedGrace = 2 * time.Minute
	// tombstoneLife is how long the removal of an instance is remembered, so that a
	// peer that was cut off does not bring it back.
	tombstoneLife = 15 * time.Minute
)

// Bounds of the spread of changes. An instance may spend 2,000 bytes per second on
// control in the long run; digests take 1,500 of them and changes of the configuration
// about 200.
const (
	// GossipBytesPerSecond is what rumours and repairs may take in the long run.
	GossipBytesPerSecond = 300
	// GossipBurstBytes is what they may take at once. Doubts of 154 entries take an
	// entry about 15 KB, and a second failure domain can die before the first is paid.
	GossipBurstBytes = 32 << 10
	// doubtBytes is the size of the short form of a doubt.
	doubtBytes = 8
	// urgentReserveBytes is what urgent rumours may take beyond the rest of the budget.
	// It is paid back before other rumours go out.
	urgentReserveBytes = 8 << 10
	// rumourSends is the number of peers that a process tells a change, and urgentSends
	// an urgent one.
	rumourSends = 6
	urgentSends = 12
	// maxRumours is the number of rumours from which on only doubts and urgent ones are added.
	maxRumours = 1024
	// recordBytes and instanceBytes are about what the numbers of a record and the
	// lengths of an instance's fields take in a message.
	recordBytes   = 16
	instanceBytes = 16
)
