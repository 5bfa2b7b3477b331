package placement

import "bergamotrudder.example/bergamotrudder/internal/dialect"

// IsFirstRead reports whether this gateway has not sent the most of the request's shared prompt
// parts to the upstream before, which may have to read them.
func (c *Choice) IsFirstRead() bool { return c.isFirstRead }

func (u *upstream) isFirstRead(prompt []dialect.PromptPart) bool {
	shared := 0
	for i, p := range prompt {
		if i < len(prompt)-1 {
			shared += p.Tokens
		}
	}
	return 2*u.cache.cachedTokens(prompt) < shared
}
