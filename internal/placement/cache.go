package placement

import (
	"github.com/cespare/xxhash/v2"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
)

// defaultCacheTokens is the memory of an engine whose service doesn't state it.
const defaultCacheTokens = 400_000

// cacheTokens returns how many of the tokens that this gateway sends to an engine its memory
// holds: the other gateways send as many there.
func (t *Table) cacheTokens(service *catalog.Service) int64 {
	tokens := int64(defaultCacheTokens)
	if service.Engine != nil && service.Engine.CapacityTokens > 0 {
		tokens = service.Engine.CapacityTokens
	}
	return max(tokens/int64(max(t.share().Count, 1)), 1)
}

// cachedPartBytes is the memory of one part in a cache, with the room that its map keeps free and the
// parts that are added before the next sweep.
const cachedPartBytes = 96

const (
	// defaultPromptMemory is the memory for the parts that all upstreams are expected to have cached.
	defaultPromptMemory = 8 << 20
	// minCachedParts is the number of parts that are remembered for each upstream at least.
	minCachedParts = 64
)

// LimitMemory bounds the memory for the parts of prompts that upstreams are expected to have cached. It
// must be called before the first Pick.
func (t *Table) LimitMemory(bytes int64) { t.promptMemory = bytes }

// maxCachedParts returns how many parts are remembered for each upstream.
func (t *Table) maxCachedParts() int64 {
	return max(t.promptMemory/cachedPartBytes/int64(max(len(t.upstreams), 1)), minCachedParts)
}

// cache tracks the parts of prompts that an upstream has recently read and so is expected
// to have in its prefix cache, which keeps the parts that were used last. It keeps hashes of their ids,
// as an id keeps the whole header of its request in memory.
type cache struct {
	// read is the number of tokens that were read, and used that number at the last use of
	// each part.
	read int64
	used map[uint64]int64
	// capacity is the number of tokens that are kept, and swept the value of read when parts
	// were last evicted.
	capacity, swept int64
}

func newCache() *cache { return &cache{used: make(map[uint64]int64)} }

func (c *cache) has(part uint64) bool {
	used, ok := c.used[part]
	return ok && c.read-used <= c.capacity
}

// cachedTokens returns the size of the longest prefix of the prompt whose parts are in the
// cache.
func (c *cache) cachedTokens(prompt []dialect.PromptPart) int {
	tokens := 0
	for _, p := range prompt {
		if !c.has(xxhash.Sum64String(p.ID)) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// add adds the parts, up to maxParts of them, to a cache of the capacity in tokens. Each part counts as
// so many tokens at least that no more than maxParts are kept, and a quarter more until they are swept.
func (c *cache) add(prompt []dialect.PromptPart, capacity, maxParts int64) {
	c.capacity = capacity
	minTokens := max(capacity/maxParts, 1)
	parts := make([]uint64, min(int64(len(prompt)), maxParts))
	for i := range parts {
		parts[i] = xxhash.Sum64String(prompt[i].ID)
		if !c.has(parts[i]) {
			c.read += max(int64(prompt[i].Tokens), minTokens)
		}
	}
	for _, part := range parts {
		c.used[part] = c.read
	}
	if c.read-c.swept <= capacity/4 {
		return
	}
	c.swept = c.read
	for part := range c.used {
		if !c.has(part) {
			delete(c.used, part)
		}
	}
}
