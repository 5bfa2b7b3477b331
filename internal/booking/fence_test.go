package booking

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

// Guards against a delayed write of a claim that takes effect after its entry abandoned
// the claim and found nothing to release. Such a claim would never be released.
func TestDelayedWriteOfAbandonedClaimIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		o := newFakeStore()
		started := time.Now()
		lost := &platform.AmbiguousError{Verb: "test", Cause: errors.New("no reply")}
		c := newRunningClaims(ctx, o)
		first := true
		c.create = func(ctx context.Context, obj platform.Object) (platform.Object, error) {
			if !first {
				return o.put(ctx, obj)
			}
			first = false
			time.AfterFunc(2*time.Second, func() { _, _ = o.put(ctx, obj) })
			return platform.Object{}, lost
		}
		c.update = o.put
		c.get = func(ctx context.Context, name string) (platform.Object, error) {
			if !first && time.Since(started) < time.Second {
				return platform.Object{}, lost
			}
			return o.get(ctx, name)
		}
		short, stop := context.WithTimeout(ctx, 100*time.Millisecond)
		defer stop()
		if _, err := c.Claim(short, testKey(1)); !IsUnresolved(err) {
			t.Fatalf("claim: %v", err)
		}
		time.Sleep(5 * time.Second)
		other := newRunningClaims(ctx, o)
		other.owner.Incarnation = "other"
		other.get, other.create, other.update = c.get, o.put, o.put
		if claim, err := other.Claim(ctx, testKey(1)); err != nil || claim.State != Granted {
			t.Fatalf("claim of another entry: %+v %v", claim, err)
		}
		if s := c.State(); s.Owned != 0 || s.Unwritten != 0 {
			t.Fatalf("the entry that abandoned the claim still has %+v", s)
		}
	})
}

// Guards against overlooking claims in an object that is only partly understood.
func TestInvalidClaimObjectIsRejected(t *testing.T) {
	const claim = `{"k":"AAAAAAAAAAAAAAAAAAAAAA","h":0,"s":1,"t":1}`
	for name, spec := range map[string]string{
		"other format":      `{"v":2,"n":1,"c":[],"h":[]}`,
		"claim twice":       `{"v":1,"n":1,"c":[` + claim + `,` + claim + `],"h":[{"i":"a","a":"b"}]}`,
		"unknown owner":     `{"v":1,"n":1,"c":[` + claim + `],"h":[]}`,
		"short key":         `{"v":1,"n":1,"c":[{"k":"AAAA","h":0,"s":1,"t":1}],"h":[{"i":"a","a":"b"}]}`,
		"unknown execution": `{"v":1,"n":1,"c":[{"k":"AAAAAAAAAAAAAAAAAAAAAA","h":0,"s":1,"t":1,"o":{"x":"?"}}],"h":[{"i":"a","a":"b"}]}`,
	} {
		if _, err := decodePartition("1", []byte(spec)); err == nil {
			t.Errorf("%s was accepted", name)
		}
	}
	if _, err := decodePartition("1", []byte(`{"v":1,"n":1,"c":[`+claim+`],"h":[{"i":"a","a":"b"}]}`)); err != nil {
		t.Error(err)
	}
}
