package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
)

// preferred returns the id of the upstream that all gateways with the same available
// upstreams prefer for the prompt's last shared part, or empty if the prompt has no shared
// part. It is rendezvous hashing, in which slow engines have a lower weight.
func (t *Table) preferred(now time.Time, members []*catalog.Member, prompt []dialect.PromptPart) string {
	if len(prompt) < 2 {
		return ""
	}
	key := prompt[len(prompt)-2].ID
	var best string
	// A member below the highest value can't become the best one, as weights are at most 1.
	highest := 0.0
	for _, m := range members {
		uniform := (float64(xxhash.Sum64String(key+"\x00"+m.ID)>>11) + 0.5) / (1 << 53)
		if uniform <= highest {
			continue
		}
		if weighted := math.Pow(uniform, 1/t.upstreamOf(m).engine.Weight(now)); weighted > highest {
			best, highest = m.ID, weighted
		}
	}
	return best
}
