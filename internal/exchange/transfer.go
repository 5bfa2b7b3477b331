package exchange

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/membership"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Exchange compares digests with the target and brings both to the same state. The
// error is that of the call which failed, or says what was wrong with a reply.
func (n *Node) Exchange(ctx context.Context, target fleet.InstanceRecord) error {
	asked := time.Now()
	record, _, _ := n.table.Record(target.Name)
	reply := &DigestReply{}
	req := &DigestRequest{Digest: Digest{Generation: n.holder.Generation()}, Known: record.Self.Hash()}
	if target.Role == fleet.RoleEntry {
		req.Digest, req.Rumours = digest(n.holder, n.table), n.table.NextGossip(membership.Gossip{})
	}
	err := n.send(ctx, target.Address, MethodDigest, req, reply)
	if target.Role == fleet.RoleEntry && ctx.Err() == nil {
		n.answered(target, err == nil)
	}
	if err != nil {
		return err
	}
	theirs := reply.Digest
	if target.Role == fleet.RoleSidecar {
		n.standIn(target.Name, time.Duration(reply.Unheard)*ageUnit)
		n.digested(target.Name, theirs.Generation)
	}
	if err := n.learnSelf(ctx, target, reply.Self); err != nil {
		return err
	}
	if err := n.level(ctx, target, theirs.Generation); err != nil {
		return err
	}
	if n.holder.Generation() >= theirs.Generation {
		n.fresh.Confirm(asked)
	}
	if target.Role != fleet.RoleEntry {
		return nil
	}
	n.table.RecordPlatformContact(age(theirs) + time.Since(asked))
	n.table.ApplyGossip(reply.Rumours)
	if theirs.Membership == n.table.Digest() {
		n.table.MarkSynced()
		return nil
	}
	return n.repair(ctx, target.Address, !req.Rumours.IsEmpty() || !reply.Rumours.IsEmpty())
}

// repair compares the tables of instances by bucket as far as the budget allows. While
// rumours are under way it waits for fluxTime after the last comparison.
func (n *Node) repair(ctx context.Context, address string, hasRumours bool) error {
	if !n.table.HasSynced() {
		if err := n.syncMembers(ctx, address, 0); err != nil {
			return err
		}
		n.table.MarkSynced()
		return nil
	}
	affordable := n.table.AvailableBytes()
	if affordable < minRepairBytes || !n.mayRepair(hasRumours) {
		n.scope.Counter("exchangeRepairPutOff").Inc(1)
		return nil
	}
	return n.syncMembers(ctx, address, affordable)
}

func (n *Node) mayRepair(hasRumours bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if hasRumours && time.Since(n.repairedAt) < fluxTime {
		return false
	}
	n.repairedAt = time.Now()
	return true
}

// send makes one bounded call.
func (n *Node) send(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	n.scope.Counter("exchangeCalls").Inc(1)
	return n.call(ctx, address, method, args, reply)
}

// learnSelf takes in what the target says of itself. A target whose statement is
// hidden by that of another incarnation is told, so that it can answer.
func (n *Node) learnSelf(ctx context.Context, target fleet.InstanceRecord, self *membership.SelfState) error {
	if self == nil || self.Instance.Name != target.Name {
		return nil
	}
	statement := []membership.Record{{Name: target.Name, Self: *self}}
	n.table.ApplyGossip(membership.Gossip{Records: statement})
	newer := n.table.Merge(statement)
	if len(newer) == 0 || newer[0].Self.Instance.Incarnation == self.Instance.Incarnation {
		return nil
	}
	reply := &SyncReply{}
	if err := n.send(ctx, target.Address, MethodSync, &SyncRequest{Records: newer}, reply); err != nil {
		return err
	}
	n.table.Merge(reply.Records[:min(len(reply.Records), membership.MaxRecords)])
	return nil
}

// level pulls a higher generation or pushes to a lower one.
func (n *Node) level(ctx context.Context, target fleet.InstanceRecord, theirs uint64) error {
	switch mine := n.holder.Generation(); {
	case theirs > mine:
		return n.pull(ctx, target.Address)
	case theirs < mine:
		return n.Push(ctx, target, theirs)
	}
	return nil
}

// pull takes the target's configuration.
func (n *Node) pull(ctx context.Context, address string) error {
	for _, base := range []uint64{n.holder.Generation(), 0} {
		reply := &PullReply{}
		if err := n.send(ctx, address, MethodPull, &PullRequest{Generation: base}, reply); err != nil {
			return err
		}
		if reply.Delta.Generation <= n.holder.Generation() {
			return nil
		}
		if head, ok := n.holder.ApplyDelta(reply.Delta); ok {
			return n.complete(ctx, address, head, reply.Sections, n.holder.ApplyPatches(reply.Patches))
		}
	}
	return errors.Errorf("the configuration of %s has another hash than it says", address)
}

// complete fetches the sections of the head that are neither held nor brought.
func (n *Node) complete(ctx context.Context, address string, head configuration.Head, raw [][]byte, patched []*configuration.Section) error {
	sections, err := parseSections(raw)
	if err != nil {
		return err
	}
	sections = append(sections, patched...)
	for range maxTransfers {
		_, err = n.holder.Apply(head, sections)
		var missing *configuration.MissingSectionsError
		if !errors.As(err, &missing) {
			return err
		}
		reply := &SectionsReply{}
		req := &SectionsRequest{Hashes: missing.Hashes[:min(len(missing.Hashes), MaxSectionHashes)]}
		if err := n.send(ctx, address, MethodSections, req, reply); err != nil {
			return err
		}
		more, err := parseSections(reply.Sections)
		if err != nil {
			return err
		}
		if len(more) == 0 {
			return missing
		}
		sections = append(sections, more...)
	}
	return err
}

// Push brings the configuration to a target that is at the given generation.
func (n *Node) Push(ctx context.Context, target fleet.InstanceRecord, theirs uint64) error {
	delta := n.holder.Delta(theirs)
	patches, sections := changes(n.holder, delta)
	// The first missing section is sent next, so it differs each time.
	last := ""
	for range maxTransfers {
		reply := &PushReply{}
		if err := n.send(ctx, target.Address, MethodPush, &PushRequest{Delta: delta, Patches: patches, Sections: sections}, reply); err != nil {
			return err
		}
		if reply.Generation >= delta.Generation {
			if target.Role == fleet.RoleSidecar {
				n.digested(target.Name, reply.Generation)
			}
			return nil
		}
		if reply.NeedsComplete {
			if delta.Base == 0 {
				return errors.Errorf("%s refuses a complete configuration", target.Name)
			}
			delta = n.holder.Delta(0)
			patches, sections = nil, nil
			continue
		}
		patches, sections = nil, rawSections(n.holder.Sections(reply.Missing))
		if len(sections) == 0 || reply.Missing[0] == last {
			return errors.Errorf("%s still needs %d sections", target.Name, len(reply.Missing))
		}
		last = reply.Missing[0]
	}
	return errors.Errorf("the configuration did not reach %s in %d calls", target.Name, maxTransfers)
}

// syncMembers brings both tables of instances to the same state, or as close to it as
// affordable bytes allow; 0 is no limit.
func (n *Node) syncMembers(ctx context.Context, address string, affordable int) error {
	members := &MembersReply{}
	req := &MembersRequest{Buckets: n.table.Buckets(), Limit: affordable / 2}
	if err := n.send(ctx, address, MethodMembers, req, members); err != nil {
		return err
	}
	if affordable > 0 {
		n.table.ConsumeBytes(repairBytes + len(members.Summaries))
		affordable = max(1, affordable-repairBytes-len(members.Summaries))
	}
	for range maxSyncs {
		want, records, err := n.table.PlanSync(members.Differing, members.Summaries)
		if err != nil {
			return err
		}
		if len(want) == 0 && len(records) == 0 {
			return nil
		}
		req := &SyncRequest{Records: records, Want: want, Filling: affordable == 0}
		if affordable > 0 {
			req.Records, req.Want = within(affordable, records, want)
		}
		reply := &SyncReply{}
		if err := n.send(ctx, address, MethodSync, req, reply); err != nil {
			return err
		}
		n.table.Merge(reply.Records[:min(len(reply.Records), 2*membership.MaxRecords)])
		if affordable > 0 {
			n.table.ConsumeBytes(membership.SizeOf(req.Records) + membership.SizeOf(reply.Records))
			return nil
		}
		if len(want) < membership.MaxRecords && len(records) < membership.MaxRecords {
			return nil
		}
		members.Summaries = withRecords(members.Summaries, records)
	}
	return nil
}

// within returns as many of the records and of the keys of others as fit the bytes,
// at least one.
func within(bytes int, records []membership.Record, want []uint32) ([]membership.Record, []uint32) {
	count := max(1, bytes/typicalRecordBytes)
	records = records[:min(len(records), count)]
	return records, want[:min(len(want), max(1, count-len(records)))]
}

// withRecords adds the summaries of records that the peer has taken.
func withRecords(summaries []byte, records []membership.Record) []byte {
	return append(slices.Clone(summaries), membership.Summaries(records)...)
}
