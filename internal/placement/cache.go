package placement

import "bergamotrudder.example/bergamotrudder/internal/dialect"

// maxParts bounds the parts that are remembered of one upstream. A session's own part is
// a few thousand tokens, so that an engine of some hundred thousand tokens holds fewer.
const maxParts = 512

// cache remembers which parts of prompts an upstream has read lately.
type cache struct {
	clock uint64
	used  map[string]uint64
}

func newCache() *cache { return &cache{used: make(map[string]uint64)} }

// kept returns the tokens of the longest run of leading parts that are remembered.
func (c *cache) kept(prompt []dialect.PromptPart) int {
	tokens := 0
	for _, p := range prompt {
		if c.used[p.ID] == 0 {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// add remembers the parts, and forgets the older half when there are too many.
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
