package catalog

import "testing"

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
