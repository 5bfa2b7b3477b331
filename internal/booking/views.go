package booking

import (
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

// viewOverhead bounds the memory of a view without its fingerprints, in bytes.
const viewOverhead = 128

// fingerprintBytes is the memory of one fingerprint.
const fingerprintBytes = 8

// view is a cached summary of a partition that proves which keys are not in it. It has
// every claim moved there up to the epoch of its segment, and possibly later ones.
type view struct {
	id, epoch uint64
	// bytes is the size of the partition.
	bytes int
	// fingerprints are sorted.
	fingerprints []uint64
}

// fingerprint returns the part of the digest that does not select the partition.
func (d digest) fingerprint() uint64 { return binary.BigEndian.Uint64(d[8:]) }

func newView(id, epoch uint64, partition *claimObject) *view {
	v := &view{id: id, epoch: epoch, bytes: partition.bytes, fingerprints: make([]uint64, 0, len(partition.records))}
	for key := range partition.records {
		v.fingerprints = append(v.fingerprints, key.fingerprint())
	}
	slices.Sort(v.fingerprints)
	return v
}

// excludes reports whether the partition has no claim of the key and has free capacity for
// one.
func (v *view) excludes(key digest) bool {
	_, found := slices.BinarySearch(v.fingerprints, key.fingerprint())
	return !found && v.bytes <= MaxPartitionBytes
}

func (v *view) size() int { return viewOverhead + fingerprintBytes*len(v.fingerprints) }

// lookup is the result of searching a partition for a key.
type lookup struct {
	record record
	// stored is set when the partition has a claim of the key, and full when the partition
	// accepts no new keys.
	stored bool
	full   bool
}

// lookupPartitions searches the partitions for the keys that are claimed and not in the
// segment's content. A key without a result has to wait for another round. The error
// reports that the store didn't respond; a partition whose content can't be decoded blocks
// only its own keys.
func (c *Claims) lookupPartitions(ctx context.Context, from *claimObject, batch []*change, now time.Time) (map[digest]lookup, error) {
	found := make(map[digest]lookup)
	toRead := make(map[int][]digest)
	c.mu.Lock()
	for _, ch := range batch {
		if r, ok := from.records[ch.key]; ch.kind != changeClaim || (ok && !r.isExpired(now)) {
			continue
		}
		p := ch.key.partition(c.partitions)
		if v := c.views[p]; v != nil && v.isCurrent(from, p/len(c.segments)) && v.excludes(ch.key) {
			found[ch.key] = lookup{}
			continue
		}
		if len(toRead) < MaxPartitionReads || toRead[p] != nil {
			toRead[p] = append(toRead[p], ch.key)
		}
	}
	c.mu.Unlock()
	return found, c.readPartitions(ctx, from, toRead, found, now)
}

// isCurrent reports whether, as of the segment's content, no claim has been moved to the
// partition since the view was read.
func (v *view) isCurrent(from *claimObject, index int) bool {
	return from.id != 0 && v.id == from.id && v.epoch == from.epochs[index]
}

// readPartitions reads partitions. The segment's content was read before, so all claims
// that had been moved out of it are seen.
func (c *Claims) readPartitions(ctx context.Context, from *claimObject, toRead map[int][]digest, found map[digest]lookup, now time.Time) error {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var failure error
	for p, keys := range toRead {
		wg.Go(func() {
			stored, err := c.loadPartition(ctx, p)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				if _, ok := err.(*readError); ok {
					failure = err
				}
				c.logger.Warn().Err(err).Str("object", partitionName(p)).Msg("failed to read a partition of claims")
				return
			}
			stored.purge(now)
			c.cacheView(p, newView(from.id, from.epochs[p/len(c.segments)], stored))
			for _, key := range keys {
				r, ok := stored.records[key]
				found[key] = lookup{record: r, stored: ok, full: stored.bytes > MaxPartitionBytes}
			}
		})
	}
	wg.Wait()
	return failure
}

func (c *Claims) loadPartition(ctx context.Context, p int) (*claimObject, error) {
	obj, err := c.get(ctx, partitionName(p))
	if platform.IsNotFound(err) {
		return newClaimObject(), nil
	}
	if err != nil {
		return nil, &readError{cause: err}
	}
	return decodePartition(obj.ResourceVersion, obj.Spec)
}

// cacheView stores the view and drops other views while their total size exceeds
// MaxViewBytes.
func (c *Claims) cacheView(p int, v *view) {
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
