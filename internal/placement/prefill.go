package placement

import "time"

// PrefillTime returns the time that the upstream is expected to need for the uncached part of the
// request's prompt. It depends on what the upstream has cached, and not on how fast it is.
func (c *Choice) PrefillTime() time.Duration {
	return time.Duration(c.prefillTokens / prefillTokensPerMs * float64(time.Millisecond))
}
