package configuration

import "time"

// Names and bounds of the stored objects.
const (
	// KindConfigurations is the plural kind name of the head object in the store.
	KindConfigurations = "configurations"
	// KindSections is the plural kind name of section objects in the store.
	KindSections = "sections"
	// HeadName is the name of the head object.
	HeadName = "active"
	// HashLength is the length of a content hash: 160 bits of SHA-256 in hexadecimal digits.
	HashLength = 40
	// MaxSectionBytes is the maximum size of a section; the store rejects values above 1 MB.
	MaxSectionBytes = 256 << 10
	// MaxHeadBytes is the maximum size of an encoded head.
	MaxHeadBytes = 512 << 10
	// MaxSections is the maximum number of sections of one head.
	MaxSections = 4096
	// MaxShards is the maximum number of shards of one item kind.
	MaxShards = 1024
)

const (
	// itemsPerShard is the maximum mean number of items per shard when the number of
	// shards of an item kind is computed anew. Small shards make the change of one item cheap;
	// each shard takes about 90 bytes in the head.
	itemsPerShard = 32
	// maxItemsPerShard and minItemsPerShard are the mean numbers of items per shard
	// beyond which the number of shards changes. The gap between them prevents an
	// item that is repeatedly added and removed from rewriting all shards each time.
	maxItemsPerShard = 64
	minItemsPerShard = 8
	// maxRecentOperations is the maximum number of earlier operations in the head. A
	// commit whose reply was lost finds its operation there after later commits.
	maxRecentOperations = 32
	// commitTimeout limits one commit, including the resolution of a lost reply.
	commitTimeout = 20 * time.Second
	// retryDelay is the delay before a write with unknown effect is retried.
	retryDelay = 100 * time.Millisecond
	// maxParallelCalls is the maximum number of sections that are read or written concurrently.
	maxParallelCalls = 8
	// sweepTimeout limits one sweep.
	sweepTimeout = time.Minute
	// listThreshold is the number of missing sections above which a load lists all
	// sections with one call, so that a restart of all entries doesn't exhaust the rate
	// limit of the store.
	listThreshold = 8
	// maxLoadAttempts is the maximum number of attempts of a load, which starts again
	// if the head was replaced meanwhile.
	maxLoadAttempts = 3
)
