package platform

import (
	"context"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"github.com/phuslu/log"
)

// Guards against a copy that stays old because the changes since its version exceed the limit of
// a reply: the same reply would be requested until the store has dropped this history.
func TestReflectorListsWhenTheChangesExceedAReply(t *testing.T) {
	const limit = 64 << 10
	synctest.Test(t, func(t *testing.T) {
		newest := "1"
		large := &AmbiguousError{Verb: "watch", Cause: &replyTooLargeError{limitBytes: limit}}
		r := &Reflector{
			kind: KindSecret, rng: rand.New(rand.NewPCG(1, 2)), logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
			minDelay: MinRelistDelay, maxDelay: MaxRelistDelay, delayBound: MaxRelistDelay,
			list: func(context.Context) (List, error) { return List{ResourceVersion: newest}, nil },
			wait: func(context.Context) {},
		}
		poll := func(ctx context.Context, _ uint64, version string, _ func(Event) error) error {
			if version != newest {
				return large
			}
			<-ctx.Done()
			return ctx.Err()
		}
		r.watch, r.resume = poll, poll
		var applied string
		r.replace = func(l List) {
			applied = l.ResourceVersion
			newest = "2"
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2*MinRelistDelay)
		defer cancel()
		r.Run(ctx)
		if applied != "2" {
			t.Errorf("the copy has version %s, the store 2", applied)
		}
	})
}
