package placement

import (
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

// cache tracks the parts of prompts that an upstream has recently read and so is expected
// to have in its prefix cache, which keeps the parts that were used last.
type cache struct {
	// read is the number of tokens that were read, and used that number at the last use of
	// each part.
	read int64
	used map[string]int64
	// capacity is the number of tokens that are kept, and swept the value of read when parts
	// were last evicted.
	capacity, swept int64
}

func newCache() *cache { return &cache{used: make(map[string]int64)} }

func (c *cache) has(id string) bool {
	used, ok := c.used[id]
	return ok && c.read-used <= c.capacity
}

// cachedTokens returns the size of the longest prefix of the prompt whose parts are in the
// cache.
func (c *cache) cachedTokens(prompt []dialect.PromptPart) int {
	tokens := 0
	for _, p := range prompt {
		if !c.has(p.ID) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// add adds the parts to a cache of the capacity in tokens. Each part counts as a token at
// least, so that the number of parts is bounded as well.
func (c *cache) add(prompt []dialect.PromptPart, capacity int64) {
	c.capacity = capacity
	for _, p := range prompt {
		if !c.has(p.ID) {
			c.read += int64(max(p.Tokens, 1))
		}
	}
	for _, p := range prompt {
		c.used[p.ID] = c.read
	}
	if c.read-c.swept <= capacity/4 {
		return
	}
	c.swept = c.read
	for id := range c.used {
		if !c.has(id) {
			delete(c.used, id)
		}
	}
}
