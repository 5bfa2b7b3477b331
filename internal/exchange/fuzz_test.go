package exchange

import (
	"bytes"
	"encoding/gob"
	"testing"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// FuzzService sends arbitrary messages to each method of a service. The service must not
// panic, and its generation must not decrease.
func FuzzService(f *testing.F) {
	for i, message := range fuzzMessages() {
		var buf bytes.Buffer
		if err := gob.NewEncoder(&buf).Encode(message); err != nil {
			f.Fatal(err)
		}
		f.Add(i, buf.Bytes())
	}
	c := newCluster()
	peer := c.start(fleet.RoleEntry, "peer", 1)
	mustCommit(f, peer, 0, testDocument(40))
	f.Fuzz(func(t *testing.T, method int, b []byte) {
		messages := fuzzMessages()
		args := messages[uint(method)%uint(len(messages))]
		if gob.NewDecoder(bytes.NewReader(b)).Decode(args) != nil {
			return
		}
		p := c.start(fleet.RoleEntry, "fuzzed", 1)
		if _, err := p.holder.Apply(peer.holder.Head(), peer.holder.Sections(p.holder.Missing(peer.holder.Head()))); err != nil {
			t.Fatal(err)
		}
		before := p.holder.Generation()
		_ = dispatch(p.service, fuzzMethods[uint(method)%uint(len(messages))], args, fuzzReplies()[uint(method)%uint(len(messages))])
		if p.holder.Generation() < before {
			t.Fatalf("the generation decreased from %d to %d", before, p.holder.Generation())
		}
	})
}

var fuzzMethods = []string{MethodDigest, MethodPull, MethodSections, MethodPush, MethodMembers, MethodSync}

func fuzzMessages() []any {
	return []any{&DigestRequest{}, &PullRequest{Generation: 1}, &SectionsRequest{Hashes: []string{"a"}}, &PushRequest{Sections: [][]byte{[]byte(`{"rules":[]}`)}}, &MembersRequest{Buckets: make([]byte, 256)}, &SyncRequest{Want: []uint32{1}}}
}

func fuzzReplies() []any {
	return []any{&DigestReply{}, &PullReply{}, &SectionsReply{}, &PushReply{}, &MembersReply{}, &SyncReply{}}
}
