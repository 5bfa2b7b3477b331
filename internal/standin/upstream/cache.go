package upstream

import (
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotrudder.example/bergamotrudder/pkg/engine"
)

// prefixCache caches prefixes of contents in blocks of cacheBlock bytes. The name of
// a block is the xxhash64 of the content up to the end of the block.
type prefixCache struct {
	mu       sync.Mutex
	limit    int
	blocks   map[string]uint64
	used     uint64
	sequence uint64
	events   []cacheEvent
}

type cacheEvent struct {
	at    time.Time
	event engine.CacheEvent
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, blocks: make(map[string]uint64)}
}

// CacheBlocks returns the names of the complete blocks of a content, shortest prefix first.
func CacheBlocks(content string) []string {
	var names []string
	for end := cacheBlock; end <= len(content); end += cacheBlock {
		names = append(names, fmt.Sprintf("%016x", xxhash.Sum64String(content[:end])))
	}
	return names
}

// use stores the blocks of the content and returns the number of its bytes that were
// already cached. With gap set, every second event is dropped.
func (c *prefixCache) use(content string, gap bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached := 0
	hit := true
	for _, name := range CacheBlocks(content) {
		c.used++
		_, ok := c.blocks[name]
		hit = hit && ok
		if hit {
			cached += cacheBlock
		}
		c.blocks[name] = c.used
		if !ok {
			c.emit(engine.CacheStored, name, gap)
		}
	}
	for len(c.blocks) > c.limit {
		c.evict(gap)
	}
	return cached
}

// evict drops the least recently used block.
func (c *prefixCache) evict(gap bool) {
	oldest, at := "", c.used+1
	for name, used := range c.blocks {
		if used < at {
			oldest, at = name, used
		}
	}
	delete(c.blocks, oldest)
	c.emit(engine.CacheRemoved, oldest, gap)
}

func (c *prefixCache) emit(kind engine.CacheEventKind, block string, gap bool) {
	c.sequence++
	if gap && c.sequence%2 == 0 {
		return
	}
	if len(c.events) >= maxCacheEvents {
		c.events = append(c.events[:0], c.events[maxCacheEvents/2:]...)
	}
	c.events = append(c.events, cacheEvent{
		at:    time.Now(),
		event: engine.CacheEvent{Sequence: c.sequence, Kind: kind, Block: block},
	})
}

func (c *prefixCache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.blocks)
	c.emit(engine.CacheCleared, "", false)
}

// since returns the events after the sequence number whose age is at least the lag.
func (c *prefixCache) since(after uint64, lag time.Duration) []engine.CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := []engine.CacheEvent{}
	for _, e := range c.events {
		if e.event.Sequence > after && time.Since(e.at) >= lag {
			events = append(events, e.event)
		}
	}
	return events
}
