package upstream

import "time"

// Defaults of the stand-ins.
const (
	DefaultCapacity     = 16
	DefaultWarmUp       = 10 * time.Second
	DefaultCollapseTime = 5 * time.Second
	DefaultColdSlowdown = 2.0
	// DefaultMaxRecords bounds the memory of a long run; State.RecordsDropped counts the records beyond it.
	DefaultMaxRecords = 1 << 20
	DefaultTokens     = 16
	// ColdCapacityDivisor is the divisor of the capacity that gives the default cold capacity, 20 %.
	ColdCapacityDivisor = 5
	// EmbeddingSize is the number of values of an embedding.
	EmbeddingSize = 8
	// MaxRequestBytes is the size limit of a request body.
	MaxRequestBytes = 4 << 20
	// MaxRecordedInput is the number of bytes of an input that a record stores.
	MaxRecordedInput = 1024
	// loadSampleInterval is the minimum time between samples of the load history, which serves delayed load reports.
	loadSampleInterval = 10 * time.Millisecond
	// maxLoadSamples bounds the number of samples in the load history.
	maxLoadSamples = 10_000
	// DefaultCacheBlocks bounds the number of blocks in the prefix cache of an engine.
	DefaultCacheBlocks = 4096
	cacheBlock         = 64
	maxCacheEvents     = 20_000
	readHeaderTimeout  = 5 * time.Second
)

const (
	contentType       = "Content-Type"
	contentTypeJSON   = "application/json"
	contentTypeEvents = "text/event-stream"
)
