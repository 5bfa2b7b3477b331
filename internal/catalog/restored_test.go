package catalog

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against requests to an upstream whose removal was seen, because the store returned from a
// copy with the registration of an earlier run of it.
func TestEarlierRunOfRemovedUpstreamDoesNotReturnWithTheCopy(t *testing.T) {
	c := New()
	c.ReplaceUpstreams([]Upstream{{ID: "i-1", Service: "s", Born: 200, Revision: 8}}, Revision{Epoch: 1, Number: 8})
	c.RemoveUpstream("i-1", Revision{Epoch: 1, Number: 9})
	c.ReplaceUpstreams([]Upstream{{ID: "i-1", Service: "s", Born: 100, Revision: 5}}, Revision{Epoch: 2, Number: 5})
	if c.View().Upstream("i-1") != nil {
		t.Error("the removed upstream is in use as its earlier run")
	}
	c.SetUpstream(Upstream{ID: "i-1", Service: "s", Born: 300, Revision: 6}, Revision{Epoch: 2, Number: 6})
	if c.View().Upstream("i-1") == nil {
		t.Error("a later run is not in use")
	}
}

// Guards against evacuations that never end because each gateway that starts holds them for the
// whole time again.
func TestHeldEvacuationEndsWhenItIsPassedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := New()
		first.ReplaceEvacuations([]string{"zone-a"}, Revision{Epoch: 1, Number: 9})
		first.ReplaceEvacuations(nil, Revision{Epoch: 2, Number: 5})
		for from, n := first, 0; n < 3; n++ {
			next := New()
			next.ReplaceEvacuations(nil, Revision{Epoch: 2, Number: 5})
			time.Sleep(evacuationGrace - time.Second)
			next.HoldEvacuations(from.HeldEvacuations())
			from.Settle(time.Now())
			from = next
			if n > 0 && slices.Contains(next.OutOfServiceDomains(), "zone-a") {
				t.Fatalf("gateway %d still holds the evacuation after %v", n, time.Duration(n+1)*(evacuationGrace-time.Second))
			}
		}
	})
}
