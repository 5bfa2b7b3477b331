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

// Exchange compares digests with the target and synchronises both. It returns the error
// of the call that failed, or describes an invalid reply.
func (n *Node) Exchange(ctx context.Context, target fleet.InstanceRecord) error {
	sentAt := time.Now()
	record, _, _ := n.table.Record(target.Name)
	reply := &DigestReply{}
	req := &DigestRequest{Digest: Digest{Generation: n.holder.Generation()}, Known: record.Self.Hash()}
	if target.Role == fleet.RoleEntry {
		req.Digest, req.Rumours = localDigest(n.holder, n.table), n.table.NextGossip(membership.Gossip{})
	}
	err := n.send(ctx, target.Address, MethodDigest, req, reply)
	if target.Role == fleet.RoleEntry && ctx.Err() == nil {
		n.recordDigestResult(target, err == nil)
	}
	if err != nil {
		return err
	}
	peerDigest := reply.Digest
	if target.Role == fleet.RoleSidecar {
		n.updateTakeover(target.Name, time.Duration(reply.Unheard)*ageUnit)
		n.recordDigest(target.Name, peerDigest.Generation)
	}
	if err := n.applySelfState(ctx, target, reply.Self); err != nil {
		return err
	}
	if err := n.syncConfiguration(ctx, target, peerDigest.Generation); err != nil {
		return err
	}
	if n.holder.Generation() >= peerDigest.Generation {
		n.fresh.Confirm(sentAt)
	}
	if target.Role != fleet.RoleEntry {
		return nil
	}
	n.table.RecordPlatformContact(platformAge(peerDigest) + time.Since(sentAt))
	n.table.ApplyGossip(reply.Rumours)
	if peerDigest.Membership == n.table.Digest() {
		n.table.MarkSynced()
		return nil
	}
	return n.repair(ctx, target.Address, !req.Rumours.IsEmpty() || !reply.Rumours.IsEmpty())
}

// repair compares the tables of instances by bucket as far as the budget allows. While
// rumours are in transit, comparisons are at least gossipSettleTime apart.
func (n *Node) repair(ctx context.Context, address string, hasRumours bool) error {
	if !n.table.HasSynced() {
		if err := n.syncMembers(ctx, address, 0); err != nil {
			return err
		}
		n.table.MarkSynced()
		return nil
	}
	affordable := n.table.AvailableBytes()
	if affordable < minRepairBytes || !n.tryStartRepair(hasRumours) {
		n.scope.Counter("exchangeRepairPutOff").Inc(1)
		return nil
	}
	return n.syncMembers(ctx, address, affordable)
}

func (n *Node) tryStartRepair(hasRumours bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if hasRumours && time.Since(n.repairedAt) < gossipSettleTime {
		return false
	}
	n.repairedAt = time.Now()
	return true
}

// send makes one call with a time limit of callTimeout.
func (n *Node) send(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	n.scope.Counter("exchangeCalls").Inc(1)
	return n.call(ctx, address, method, args, reply)
}

// applySelfState merges the target's self-reported state. If the table has a newer state
// of another incarnation, it is sent to the target, so that the target can supersede the
// newer state.
func (n *Node) applySelfState(ctx context.Context, target fleet.InstanceRecord, self *membership.SelfState) error {
	if self == nil || self.Instance.Name != target.Name {
		return nil
	}
	reported := []membership.Record{{Name: target.Name, Self: *self}}
	n.table.ApplyGossip(membership.Gossip{Records: reported})
	newer := n.table.Merge(reported)
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

// syncConfiguration pulls a higher generation, or pushes to a target with a lower one.
func (n *Node) syncConfiguration(ctx context.Context, target fleet.InstanceRecord, peerGeneration uint64) error {
	switch local := n.holder.Generation(); {
	case peerGeneration > local:
		return n.pull(ctx, target.Address)
	case peerGeneration < local:
		return n.Push(ctx, target, peerGeneration)
	}
	return nil
}

// pull fetches the target's configuration.
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
			return n.fetchMissing(ctx, address, head, reply.Sections, n.holder.ApplyPatches(reply.Patches))
		}
	}
	return errors.Errorf("the configuration of %s does not match its hash", address)
}

// fetchMissing applies the head after fetching the sections that are neither present nor
// in the reply to the pull.
func (n *Node) fetchMissing(ctx context.Context, address string, head configuration.Head, raw [][]byte, patched []*configuration.Section) error {
	sections, err := parseSections(raw)
	if err != nil {
		return err
	}
	sections = append(sections, patched...)
	for range maxTransferCalls {
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

// Push sends the configuration to a target that has the given generation.
func (n *Node) Push(ctx context.Context, target fleet.InstanceRecord, peerGeneration uint64) error {
	delta := n.holder.Delta(peerGeneration)
	patches, sections := changes(n.holder, delta)
	last := ""
	for range maxTransferCalls {
		reply := &PushReply{}
		if err := n.send(ctx, target.Address, MethodPush, &PushRequest{Delta: delta, Patches: patches, Sections: sections}, reply); err != nil {
			return err
		}
		if reply.Generation >= delta.Generation {
			if target.Role == fleet.RoleSidecar {
				n.recordDigest(target.Name, reply.Generation)
			}
			return nil
		}
		if reply.NeedsComplete {
			if delta.Base == 0 {
				return errors.Errorf("%s did not accept a complete configuration", target.Name)
			}
			delta = n.holder.Delta(0)
			patches, sections = nil, nil
			continue
		}
		patches, sections = nil, rawSections(n.holder.Sections(reply.Missing))
		// The same first missing hash twice means that the target did not accept the section.
		if len(sections) == 0 || reply.Missing[0] == last {
			return errors.Errorf("%s still lacks %d sections", target.Name, len(reply.Missing))
		}
		last = reply.Missing[0]
	}
	return errors.Errorf("transfer of the configuration to %s is incomplete after %d calls", target.Name, maxTransferCalls)
}

// syncMembers synchronises both tables of instances, as far as the affordable bytes
// allow; 0 means no limit.
func (n *Node) syncMembers(ctx context.Context, address string, affordable int) error {
	members := &MembersReply{}
	req := &MembersRequest{Buckets: n.table.Buckets(), Limit: affordable / 2}
	if err := n.send(ctx, address, MethodMembers, req, members); err != nil {
		return err
	}
	if affordable > 0 {
		n.table.ConsumeBytes(repairOverheadBytes + len(members.Summaries))
		affordable = max(1, affordable-repairOverheadBytes-len(members.Summaries))
	}
	for range maxSyncCalls {
		want, records, err := n.table.PlanSync(members.Differing, members.Summaries)
		if err != nil {
			return err
		}
		if len(want) == 0 && len(records) == 0 {
			return nil
		}
		req := &SyncRequest{Records: records, Want: want, Filling: affordable == 0}
		if affordable > 0 {
			req.Records, req.Want = limitToBytes(affordable, records, want)
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
		members.Summaries = addSummaries(members.Summaries, records)
	}
	return nil
}

// limitToBytes returns as many of the records and of the keys of requested records as
// fit into the bytes, at least one of each.
func limitToBytes(bytes int, records []membership.Record, want []uint32) ([]membership.Record, []uint32) {
	count := max(1, bytes/typicalRecordBytes)
	records = records[:min(len(records), count)]
	return records, want[:min(len(want), max(1, count-len(records)))]
}

// addSummaries adds the summaries of records that the peer has merged.
func addSummaries(summaries []byte, records []membership.Record) []byte {
	return append(slices.Clone(summaries), membership.Summaries(records)...)
}
