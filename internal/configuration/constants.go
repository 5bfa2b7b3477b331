package configuration

import "time"

// Names and bounds of the stored objects.
const (
	// KindConfigurations is the plural of the head object's kind.
	KindConfigurations = "configurations"
	// KindSections is the plural of the section objects' kind.
	KindSections = "sections"
	// HeadName is the name of the head object.
	HeadName = "active"
	// HashLength is the length of a content hash: 160 bits of SHA-256 in hexadecimal digits.
	HashLength = 40
	// MaxSectionBytes is the largest section; the store refuses values above 1 MB.
	MaxSectionBytes = 256 << 10
	// MaxHeadBytes is the largest encoded head.
	MaxHeadBytes = 512 << 10
	// MaxSections is the largest number of sections of one head.
	MaxSections = 4096
	// MaxShards is the largest number of shards of one kind.
	MaxShards = 1024
)

const (
	// itemsPerShard is the mean number of items of a shard after the number of
	// shards was chosen anew. Small shards make the change of one row cheap; each
	// costs about 90 bytes in the head.
	itemsPerShard = 32
	// maxItemsPerShard and minItemsPerShard are the mean numbers of items at which
	// the number of shards changes. The gap keeps one added and removed row from
	// rewriting every shard again and again.
	maxItemsPerShard = 64
	minItemsPerShard = 8
	// recentOperations is how many earlier operations the head remembers. A commit
	// whose reply was lost finds itself there when others have committed since.
	recentOperations = 32
	// commitTimeout bounds one commit, including the resolution of a lost reply.
	commitTimeout = 20 * time.Second
	// retryDelay is the pause before a write of unknown effect is tried again.
	retryDelay = 100 * time.Millisecond
	// parallelReads is the number of sections that are read or written at once.
	parallelReads = 8
	// sweepTimeout bounds one sweep.
	sweepTimeout = time.Minute
	// listAbove is the number of missing sections above which a load lists all of them
	// with one call, so that a restart of all entries doesn't use up the store's rate.
	listAbove = 8
	// loadAttempts is how often a load starts again because the head moved on.
	loadAttempts = 3
)
