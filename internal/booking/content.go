package booking

import (
	"encoding/base64"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Owner is the entry incarnation that wrote a claim.
type Owner struct {
	Incarnation string `json:"i"`
	// Address is the IP address and port of the entry's peer listener.
	Address string `json:"a"`
}

// record is one claim as stored. Owner and sequence identify the write that created it.
type record struct {
	owner    Owner
	sequence uint64
	// at is in seconds since 1970 by the owner's clock.
	at      int64
	outcome *Outcome
	// encoded is the JSON form of outcome.
	encoded []byte
}

func (r record) isWrittenBy(o Owner, sequence uint64) bool {
	return r.owner.Incarnation == o.Incarnation && r.sequence == sequence
}

// claimObject is the decoded spec of a segment or partition.
type claimObject struct {
	// version is the object's resourceVersion, empty while the object doesn't exist.
	version string
	// writes counts the writes. It makes the spec of every write different, because the
	// platform assigns no new resourceVersion to an update without a change.
	writes uint64
	// id is a random number generated when a segment is created. It makes views of partitions
	// invalid that were read before the segment was deleted and created again. It is 0 for
	// a partition.
	id uint64
	// epochs counts, for each partition of a segment, the writes that removed claims from
	// the segment because they are in the partition. It is nil for a partition.
	epochs  []uint64
	records map[digest]record
	// owners counts the records of each owner.
	owners map[Owner]int
	// bytes is an upper bound of the size of the encoded spec.
	bytes int
}

type objectSpec struct {
	Format  int          `json:"v"`
	Writes  uint64       `json:"n"`
	ID      uint64       `json:"id,omitempty"`
	Epochs  []uint64     `json:"e,omitempty"`
	Owners  []Owner      `json:"h"`
	Records []recordSpec `json:"c"`
}

type recordSpec struct {
	Key      digest `json:"k"`
	Owner    int    `json:"h"`
	Sequence uint64 `json:"s"`
	At       int64  `json:"t"`
	// Outcome is an encoded Outcome, or absent.
	Outcome json.RawMessage `json:"o,omitempty"`
}

// Formats of claim objects.
const (
	partitionFormat = 1
	segmentFormat   = 2
)

// epochBytes bounds the encoded size of an epoch.
const epochBytes = 21

func newClaimObject() *claimObject {
	return &claimObject{records: make(map[digest]record), owners: make(map[Owner]int), bytes: recordOverhead}
}

// newSegmentObject returns the content of a segment that doesn't exist yet.
func newSegmentObject(partitions int) *claimObject {
	c := newClaimObject()
	c.epochs = make([]uint64, partitions)
	c.bytes += recordOverhead + epochBytes*partitions
	return c
}

// decodePartition decodes a partition spec. It rejects another format, a malformed key, a
// key that appears twice, an owner index out of range and an unknown execution: an
// overlooked claim would allow its request to run again. Unknown fields are ignored, so an
// incompatible change of the spec needs a new format.
func decodePartition(version string, spec []byte) (*claimObject, error) {
	s, err := decodeSpec(spec, partitionFormat)
	if err != nil {
		return nil, err
	}
	c := newClaimObject()
	return c, c.populate(version, s)
}

// decodeSegment decodes a segment spec. It rejects the same as decodePartition, and also a
// spec without an id or with epochs for another number of partitions.
func decodeSegment(version string, spec []byte, partitions int) (*claimObject, error) {
	s, err := decodeSpec(spec, segmentFormat)
	if err != nil {
		return nil, err
	}
	if len(s.Epochs) != partitions || s.ID == 0 {
		return nil, errors.Errorf("segment has id %d and %d epochs, want a non-zero id and %d epochs", s.ID, len(s.Epochs), partitions)
	}
	c := newSegmentObject(partitions)
	c.id, c.epochs = s.ID, s.Epochs
	return c, c.populate(version, s)
}

func decodeSpec(spec []byte, format int) (objectSpec, error) {
	var s objectSpec
	if err := json.Unmarshal(spec, &s); err != nil {
		return s, errors.Wrap(err, "decoding a claim object")
	}
	if s.Format != format {
		return s, errors.Errorf("claim object has format %d, want %d", s.Format, format)
	}
	return s, nil
}

// populate adds the claims of a decoded spec.
func (c *claimObject) populate(version string, s objectSpec) error {
	c.version, c.writes = version, s.Writes
	for _, r := range s.Records {
		if r.Owner < 0 || r.Owner >= len(s.Owners) {
			return errors.Errorf("claim refers to owner %d of %d", r.Owner, len(s.Owners))
		}
		if _, ok := c.records[r.Key]; ok {
			return errors.Errorf("claim of key %s appears twice", r.Key)
		}
		decoded := record{owner: s.Owners[r.Owner], sequence: r.Sequence, at: r.At}
		if len(r.Outcome) > 0 {
			decoded.outcome, decoded.encoded = new(Outcome), r.Outcome
			if err := json.Unmarshal(r.Outcome, decoded.outcome); err != nil {
				return errors.Wrap(err, "decoding the outcome of a claim")
			}
			if !decoded.outcome.isValid() {
				return errors.Errorf("claim of key %s has the unknown execution %q", r.Key, decoded.outcome.Execution)
			}
		}
		c.set(r.Key, decoded)
	}
	return nil
}

// encode writes the JSON form of objectSpec by hand, because encoding/json takes most of
// the time of a claim in a large object.
func (c *claimObject) encode() ([]byte, error) {
	owners := []Owner{}
	indexes := make(map[Owner]int)
	b := make([]byte, 0, c.bytes+recordOverhead)
	b = append(b, `{"v":`...)
	if c.epochs == nil {
		b = strconv.AppendInt(b, partitionFormat, 10)
	} else {
		b = strconv.AppendInt(b, segmentFormat, 10)
		b = append(b, `,"id":`...)
		b = strconv.AppendUint(b, c.id, 10)
		b = append(b, `,"e":[`...)
		for i, epoch := range c.epochs {
			if i > 0 {
				b = append(b, ',')
			}
			b = strconv.AppendUint(b, epoch, 10)
		}
		b = append(b, ']')
	}
	b = append(b, `,"n":`...)
	b = strconv.AppendUint(b, c.writes, 10)
	b = append(b, `,"c":[`...)
	first := true
	for key, r := range c.records {
		i, ok := indexes[r.owner]
		if !ok {
			i = len(owners)
			indexes[r.owner] = i
			owners = append(owners, r.owner)
		}
		if !first {
			b = append(b, ',')
		}
		first = false
		b = r.append(b, key, i)
	}
	names, err := json.Marshal(owners)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the owners of claims")
	}
	b = append(b, `],"h":`...)
	b = append(b, names...)
	return append(b, '}'), nil
}

// append writes the JSON form of recordSpec.
func (r record) append(b []byte, key digest, owner int) []byte {
	b = append(b, `{"k":"`...)
	b = base64.RawURLEncoding.AppendEncode(b, key[:])
	b = append(b, `","h":`...)
	b = strconv.AppendInt(b, int64(owner), 10)
	b = append(b, `,"s":`...)
	b = strconv.AppendUint(b, r.sequence, 10)
	b = append(b, `,"t":`...)
	b = strconv.AppendInt(b, r.at, 10)
	if r.outcome != nil {
		b = append(b, `,"o":`...)
		b = append(b, r.encoded...)
	}
	return append(b, '}')
}

// clone copies the maps and epochs; records are values and outcomes are immutable.
func (c *claimObject) clone() *claimObject {
	n := *c
	n.records = maps.Clone(c.records)
	n.owners = maps.Clone(c.owners)
	n.epochs = slices.Clone(c.epochs)
	return &n
}

func (c *claimObject) set(key digest, r record) {
	c.remove(key)
	c.records[key] = r
	c.bytes += r.size()
	if c.owners[r.owner]++; c.owners[r.owner] == 1 {
		c.bytes += r.owner.size()
	}
}

func (c *claimObject) remove(key digest) {
	old, ok := c.records[key]
	if !ok {
		return
	}
	delete(c.records, key)
	c.bytes -= old.size()
	if c.owners[old.owner]--; c.owners[old.owner] == 0 {
		delete(c.owners, old.owner)
		c.bytes -= old.owner.size()
	}
}

// purge removes the claims whose retention has ended.
func (c *claimObject) purge(now time.Time) {
	for key, r := range c.records {
		if r.isExpired(now) {
			c.remove(key)
		}
	}
}

// isExpired reports whether the retention of the claim has ended.
func (r record) isExpired(now time.Time) bool {
	return r.at < now.Add(-Retention-ClaimClockMargin).Unix()
}

func (r record) size() int { return recordOverhead + len(r.encoded) }

// size allows for JSON escapes of six bytes per byte.
func (o Owner) size() int { return recordOverhead + 6*(len(o.Incarnation)+len(o.Address)) }
