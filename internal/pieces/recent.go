package pieces

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
)

// recentTime is how long a handle is remembered after its call: longer than a connection may
// be idle between two calls, and the second one takes.
const recentTime = maxIdle + 5*time.Second

// pieceIdentity identifies a piece across its calls. It has a hash of the id of the attempt, which its
// caller chooses and which may be long.
type pieceIdentity struct {
	id    uint64
	stage int
	index int
}

func (j *Job) identity() pieceIdentity {
	return pieceIdentity{id: xxhash.Sum64String(j.Piece.ID), stage: j.Piece.Stage, index: j.Piece.Index}
}

// recentResults remembers for which piece each recent handle was produced.
type recentResults struct {
	pieces map[string]pieceIdentity
	order  []recentHandle
}

type recentHandle struct {
	handle string
	until  time.Time
}

func newRecentResults() *recentResults {
	return &recentResults{pieces: make(map[string]pieceIdentity)}
}

func (r *recentResults) add(handle string, piece pieceIdentity, now time.Time) {
	r.pieces[handle] = piece
	r.order = append(r.order, recentHandle{handle: handle, until: now.Add(recentTime)})
}

func (r *recentResults) expire(now time.Time) {
	for len(r.order) > 0 && now.After(r.order[0].until) {
		delete(r.pieces, r.order[0].handle)
		r.order = r.order[1:]
	}
}

// hasOtherPieces reports whether the results contain a handle that was produced for another
// piece than the call has at its place: the response is then a copy of that of an earlier
// call.
func (b *Batcher) hasOtherPieces(c *Call, results []dialect.Result) bool {
	for i, r := range results {
		if piece, ok := b.recent.pieces[r.Handle]; r.Handle != "" && ok && piece != c.Jobs[i].identity() {
			return true
		}
	}
	return false
}
