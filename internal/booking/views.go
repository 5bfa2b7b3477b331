package booking

import (
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

// viewOverhead bounds the memory of a view without its fingerprints.
const viewOverhead = 128

// fingerprintBytes is the memory of one fingerprint.
const fingerprintBytes = 8

// view says which keys a partition doesn't have. It has every claim that was moved
// there up to the epoch of its segment; it may have more.
type view struct {
	id, epoch uint64
	// bytes is the size of the partition.
	bytes int
	// fingerprints are sorted.
	fingerprints []uint64
}

// fingerprint is a part of the digest that doesn't choose the partition.
func (d digest) fingerprint() uint64 { return binary.BigEndian.Uint64(d[8:]) }

func newView(id, epoch uint64, held *content) *view {
	v := &view{id: id, epoch: epoch, bytes: held.bytes, fingerprints: make([]uint64, 0, len(held.records))}
	for key := range held.records {
		v.fingerprints = append(v.fingerprints, key.fingerprint())
	}
	slices.Sort(v.fingerprints)
	return v
}

// excludes reports whether the partition has no claim of the key and room for one.
func (v *view) excludes(key digest) bool {
	_, found := slices.BinarySearch(v.fingerprints, key.fingerprint())
	return !found && v.bytes <= MaxPartitionBytes
}

func (v *view) size() int { return viewOverhead + fingerprintBytes*len(v.fingerprints) }

// lookup is what a partition says of a key.
type lookup struct {
	record record
	held   bool
	full   bool
}

// search finds out what the partitions say of the keys that are claimed and that the
// segment's content doesn't have. A key without a result has to wait for another
// round. The error says that the store didn't answer; a partition with content that
// isn't understood stops only its own keys.
func (c *Claims) search(ctx context.Context, from *content, group []*change, now time.Time) (map[digest]lookup, error) {
	found := make(map[digest]lookup)
	unseen := make(map[int][]digest)
	c.mu.Lock()
	for _, g := range group {
		if r, ok := from.records[g.key]; g.kind != changeClaim || (ok && !r.isExpired(now)) {
			continue
		}
		p := g.key.partition(c.partitions)
		if v := c.views[p]; v != nil && v.isCurrent(from, p/len(c.segments)) && v.excludes(g.key) {
			found[g.key] = lookup{}
			continue
		}
		if len(unseen) < MaxPartitionReads || unseen[p] != nil {
			unseen[p] = append(unseen[p], g.key)
		}
	}
	c.mu.Unlock()
	return found, c.searchUnseen(ctx, from, unseen, found, now)
}

// isCurrent reports whether no claim has been moved to the partition after the view
// was read, as of the segment's content.
func (v *view) isCurrent(from *content, index int) bool {
	return from.id != 0 && v.id == from.id && v.epoch == from.epochs[index]
}

// searchUnseen reads partitions. The segment's content was read before, so that all
// claims which had been moved out of it are seen.
func (c *Claims) searchUnseen(ctx context.Context, from *content, unseen map[int][]digest, found map[digest]lookup, now time.Time) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failure error
	for p, keys := range unseen {
		wg.Go(func() {
			held, err := c.loadPartition(ctx, p)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				if _, ok := err.(*readError); ok {
					failure = err
				}
				c.logger.Warn().Err(err).Str("object", partitionName(p)).Msg("partition of claims was not read")
				return
			}
			held.purge(now)
			c.keepView(p, newView(from.id, from.epochs[p/len(c.segments)], held))
			for _, key := range keys {
				r, ok := held.records[key]
				found[key] = lookup{record: r, held: ok, full: held.bytes > MaxPartitionBytes}
			}
		})
	}
	wg.Wait()
	return failure
}

func (c *Claims) loadPartition(ctx context.Context, p int) (*content, error) {
	obj, err := c.get(ctx, partitionName(p))
	if platform.IsNotFound(err) {
		return newContent(), nil
	}
	if err != nil {
		return nil, &readError{cause: err}
	}
	return decodeContent(obj.ResourceVersion, obj.Spec)
}

// keepView keeps the view within the bound of all views.
func (c *Claims) keepView(p int, v *view) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old := c.views[p]; old != nil {
		c.viewBytes -= old.size()
	}
	c.views[p] = v
	c.viewBytes += v.size()
	for other, old := range c.views {
		if c.viewBytes <= MaxViewBytes {
			return
		}
		c.viewBytes -= old.size()
		delete(c.views, other)
	}
}
