package catalog

import "testing"

// Guards against changes that are ignored because the store returned to an earlier state and
// counts its revisions from there.
func TestChangesOfALaterEpochTakeEffect(t *testing.T) {
	c := New()
	u := Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", FailureDomain: "a"}
	c.ReplaceUpstreams([]Upstream{u}, Revision{Epoch: 1, Number: 100})
	c.ReplaceEvacuations(nil, Revision{Epoch: 1, Number: 100})
	c.ReplaceUpstreams([]Upstream{u}, Revision{Epoch: 2, Number: 40})
	c.ReplaceEvacuations(nil, Revision{Epoch: 2, Number: 40})
	u.Draining = true
	c.SetUpstream(u, Revision{Epoch: 2, Number: 41})
	c.SetEvacuation("b", true, Revision{Epoch: 2, Number: 42})
	if v := c.View(); len(v.Upstreams("s")) != 0 || !v.IsOutOfService("b") {
		t.Errorf("%d upstreams, domain b out of service: %v", len(v.Upstreams("s")), v.IsOutOfService("b"))
	}
	// A late list and late changes of the ended epoch.
	u.Draining = false
	c.ReplaceUpstreams([]Upstream{u}, Revision{Epoch: 1, Number: 101})
	c.SetUpstream(u, Revision{Epoch: 1, Number: 102})
	c.SetEvacuation("b", false, Revision{Epoch: 1, Number: 103})
	if v := c.View(); len(v.Upstreams("s")) != 0 || !v.IsOutOfService("b") {
		t.Errorf("%d upstreams, domain b out of service: %v after changes of an ended epoch", len(v.Upstreams("s")), v.IsOutOfService("b"))
	}
	if at := c.Revisions().UpstreamsAt(); at != (Revision{Epoch: 2, Number: 41}) {
		t.Errorf("the upstreams are of %+v", at)
	}
}
