package membership

import (
	"encoding/binary"
	"slices"

	"github.com/pkg/errors"
)

// Digest returns a hash of all visible records. Two tables with the same digest are equal.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

// Buckets returns the hashes of all buckets, 4 bytes each in big-endian order.
func (t *Table) Buckets() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := make([]byte, 0, BucketCount*bucketHashBytes)
	for _, h := range t.buckets {
		b = binary.BigEndian.AppendUint32(b, uint32(h))
	}
	return b
}

// Compare returns the indexes of the buckets that differ from a peer's, and a
// summary of each instance in them.
func (t *Table) Compare(buckets []byte) (differing []byte, summaries []byte, err error) {
	return t.CompareWithin(buckets, 0)
}

// CompareWithin is Compare for as many differing buckets as have summaries of about
// limit bytes in total, but at least one; 0 means no limit. Each call starts at another
// bucket.
func (t *Table) CompareWithin(buckets []byte, limit int) (differing []byte, summaries []byte, err error) {
	if len(buckets) != BucketCount*bucketHashBytes {
		return nil, nil, errors.Errorf("hashes of buckets have %d bytes, want %d", len(buckets), BucketCount*bucketHashBytes)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var differs [BucketCount]bool
	size := 0
	t.firstBucket += bucketStride
	for step := range BucketCount {
		i := (t.firstBucket + step) % BucketCount
		if uint32(t.buckets[i]) == binary.BigEndian.Uint32(buckets[i*bucketHashBytes:]) {
			continue
		}
		size += len(t.recordsByName) * summaryBytes / BucketCount
		if limit > 0 && size > limit && len(differing) > 0 {
			break
		}
		differs[i] = true
		differing = append(differing, byte(i))
	}
	for _, e := range t.recordsByName {
		if e.visible && differs[e.key%BucketCount] {
			summaries = binary.BigEndian.AppendUint32(summaries, e.key)
			summaries = binary.BigEndian.AppendUint32(summaries, uint32(e.hash))
		}
	}
	return differing, summaries, nil
}

// PlanSync plans the rest of a repair after the peer has compared the buckets. It
// returns the keys of the records to request from the peer and the local records to send
// to it, at most MaxRecords each.
func (t *Table) PlanSync(differing, summaries []byte) (want []uint32, send []Record, err error) {
	if len(summaries)%summaryBytes != 0 {
		return nil, nil, errors.Errorf("summaries have %d bytes, which is no multiple of %d", len(summaries), summaryBytes)
	}
	theirs := make(map[uint32]uint32, len(summaries)/summaryBytes)
	for b := summaries; len(b) > 0; b = b[summaryBytes:] {
		theirs[binary.BigEndian.Uint32(b)] = binary.BigEndian.Uint32(b[4:])
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := make(map[uint32]bool, len(theirs))
	for _, e := range t.recordsByName {
		theirHash, listed := theirs[e.key]
		same := listed && e.visible && theirHash == uint32(e.hash)
		known[e.key] = known[e.key] || same
		// A tombstone is sent only to a peer that still lists the instance.
		relevant := listed || (e.visible && slices.Contains(differing, byte(e.key%BucketCount)))
		if !same && relevant && len(send) < MaxRecords {
			send = append(send, e.record)
			// The peer replies with its own record if that is newer.
			known[e.key] = true
		}
	}
	for key := range theirs {
		if !known[key] && len(want) < MaxRecords {
			want = append(want, key)
		}
	}
	return want, send, nil
}

// Records returns the records with the keys, at most MaxRecords.
func (t *Table) Records(keys []uint32) []Record {
	if len(keys) == 0 {
		return nil
	}
	wanted := make(map[uint32]bool, len(keys))
	for _, key := range keys {
		wanted[key] = true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []Record
	for _, e := range t.recordsByName {
		if wanted[e.key] && len(records) < MaxRecords {
			records = append(records, e.record)
		}
	}
	return records
}

// Summaries returns the summaries of the records, as Compare does for a table in which
// they are visible.
func Summaries(records []Record) []byte {
	b := make([]byte, 0, len(records)*summaryBytes)
	for _, r := range records {
		b = binary.BigEndian.AppendUint32(b, keyOf(r.Name))
		b = binary.BigEndian.AppendUint32(b, uint32(r.hash()))
	}
	return b
}
