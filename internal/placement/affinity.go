package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
)

// affinityGroup is the number of engines that share the requests with a prompt part that is too
// much for one engine. It is fixed, because gateways that estimate the demand differently must
// choose the same engines.
const affinityGroup = 16

// candidate is an upstream with its rendezvous score for a part: the lowest is the best.
type candidate struct {
	member *catalog.Member
	score  float64
}

// preferred returns the id of the upstream that all gateways with the same available
// upstreams prefer for the shared parts of the prompt, or empty if it has none. From the first
// part on, the upstreams are narrowed down by rendezvous hashing to as many as the demand for the
// part takes.
func (t *Table) preferred(now time.Time, members []*catalog.Member, prompt []dialect.PromptPart) string {
	if len(prompt) < 2 || len(members) == 0 {
		return ""
	}
	shared := prompt[len(prompt)-2 : len(prompt)-1]
	own := t.model(members[0].Service).ReadMs(float64(prompt[len(prompt)-1].Tokens))
	for i, p := range shared {
		n := len(members)
		switch demand := t.demand.with(now, p.ID, own) * float64(max(t.share().Count, 1)); {
		case demand <= maxEngineDemand || i == len(shared)-1:
			n = 1
		case demand <= affinityGroup*maxEngineDemand:
			n = affinityGroup
		}
		if n < len(members) {
			members = t.best(now, members, p.ID, n)
		}
	}
	return members[0].ID
}

// best returns the n best members for the part by rendezvous hashing, in which slow engines
// have a lower weight.
func (t *Table) best(now time.Time, members []*catalog.Member, part string, n int) []*catalog.Member {
	best := make([]candidate, 0, n+1)
	for _, m := range members {
		uniform := (float64(xxhash.Sum64String(part+"\x00"+m.ID)>>11) + 0.5) / (1 << 53)
		score := -math.Log(uniform) / t.upstreamOf(m).engine.Weight(now)
		if len(best) == n && score >= best[n-1].score {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, score, func(c candidate, score float64) int {
			if c.score < score {
				return -1
			}
			return 1
		})
		best = slices.Insert(best, i, candidate{member: m, score: score})
		best = best[:min(len(best), n)]
	}
	chosen := make([]*catalog.Member, len(best))
	for i, c := range best {
		chosen[i] = c.member
	}
	return chosen
}
