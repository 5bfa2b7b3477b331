package placement

import "bergamotrudder.example/bergamotrudder/internal/dialect"

// maxParts bounds the number of prompt parts that are tracked per upstream. The part of a
// session has a few thousand tokens, so these are more parts than an engine's cache of some
// hundred thousand tokens holds.
const maxParts = 512

// cache tracks the parts of prompts that an upstream has recently read and so is expected
// to have in its prefix cache.
type cache struct {
	clock uint64
	used  map[string]uint64
}

func newCache() *cache { return &cache{used: make(map[string]uint64)} }

// cachedTokens returns the size of the longest prefix of the prompt whose parts are in the
// cache.
func (c *cache) cachedTokens(prompt []dialect.PromptPart) int {
	tokens := 0
	for _, p := range prompt {
		if c.used[p.ID] == 0 {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// add adds the parts. If there are more than maxParts, it evicts those that are not among
// the last maxParts/2 uses.
func (c *cache) add(prompt []dialect.PromptPart) {
	for _, p := range prompt {
		c.clock++
		c.used[p.ID] = c.clock
	}
	if len(c.used) <= maxParts {
		return
	}
	for id, used := range c.used {
		if used+maxParts/2 < c.clock {
			delete(c.used, id)
		}
	}
}
