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

// record is one claim. Owner and sequence identify the write that made it.
type record struct {
	holder   Owner
	sequence uint64
	// at is in seconds since 1970 by the holder's clock.
	at      int64
	outcome *Outcome
	// encoded is the JSON form of outcome.
	encoded []byte
}

func (r record) isOf(h Owner, sequence uint64) bool {
	return r.holder.Incarnation == h.Incarnation && r.sequence == sequence
}

// content is the decoded spec of one claim object.
type content struct {
	// version is the object's resourceVersion, empty while the object doesn't exist.
	version string
	// writes counts the writes. It makes the spec of every write another one, because
	// the platform gives no new resourceVersion to an update without a change.
	writes uint64
	// id is drawn when a segment is created; views of partitions from before a
	// segment that was deleted don't hold for its successor. It is 0 for a partition.
	id uint64
	// epochs counts, for each partition of a segment, the writes that removed claims
	// from the segment because the partition has them. It is nil for a partition.
	epochs  []uint64
	records map[digest]record
	// holders counts the records of each holder.
	holders map[Owner]int
	// bytes bounds the size of the encoded spec from above.
	bytes int
}

type contentSpec struct {
	Format  int          `json:"v"`
	Writes  uint64       `json:"n"`
	ID      uint64       `json:"id,omitempty"`
	Epochs  []uint64     `json:"e,omitempty"`
	Holders []Owner      `json:"h"`
	Records []recordSpec `json:"c"`
}

type recordSpec struct {
	Key      digest `json:"k"`
	Holder   int    `json:"h"`
	Sequence uint64 `json:"s"`
	At       int64  `json:"t"`
	// Outcome is an Outcome, or absent.
	Outcome json.RawMessage `json:"o,omitempty"`
}

// Formats of claim objects.
const (
	contentFormat = 1
	segmentFormat = 2
)

// epochBytes bounds the encoded size of an epoch.
const epochBytes = 21

func newContent() *content {
	return &content{records: make(map[digest]record), holders: make(map[Owner]int), bytes: recordOverhead}
}

// newSegment returns the content of a segment that doesn't exist.
func newSegment(partitions int) *content {
	c := newContent()
	c.epochs = make([]uint64, partitions)
	c.bytes += recordOverhead + epochBytes*partitions
	return c
}

// decodeContent refuses a spec of a partition that it doesn't fully understand: a
// claim that is overlooked would let its request run again.
func decodeContent(version string, spec []byte) (*content, error) {
	s, err := decodeSpec(spec, contentFormat)
	if err != nil {
		return nil, err
	}
	c := newContent()
	return c, c.fill(version, s)
}

// decodeSegment refuses a spec of a segment that it doesn't fully understand or that
// was written for another number of partitions.
func decodeSegment(version string, spec []byte, partitions int) (*content, error) {
	s, err := decodeSpec(spec, segmentFormat)
	if err != nil {
		return nil, err
	}
	if len(s.Epochs) != partitions || s.ID == 0 {
		return nil, errors.Errorf("segment %d has %d partitions, known are %d", s.ID, len(s.Epochs), partitions)
	}
	c := newSegment(partitions)
	c.id, c.epochs = s.ID, s.Epochs
	return c, c.fill(version, s)
}

func decodeSpec(spec []byte, format int) (contentSpec, error) {
	var s contentSpec
	if err := json.Unmarshal(spec, &s); err != nil {
		return s, errors.Wrap(err, "decoding a claim object")
	}
	if s.Format != format {
		return s, errors.Errorf("claim object has format %d, known is %d", s.Format, format)
	}
	return s, nil
}

// fill takes over the claims of a decoded spec.
func (c *content) fill(version string, s contentSpec) error {
	c.version, c.writes = version, s.Writes
	for _, r := range s.Records {
		if r.Holder < 0 || r.Holder >= len(s.Holders) {
			return errors.Errorf("claim names holder %d of %d", r.Holder, len(s.Holders))
		}
		if _, ok := c.records[r.Key]; ok {
			return errors.Errorf("claim %s appears twice", r.Key)
		}
		decoded := record{holder: s.Holders[r.Holder], sequence: r.Sequence, at: r.At}
		if len(r.Outcome) > 0 {
			decoded.outcome, decoded.encoded = new(Outcome), r.Outcome
			if err := json.Unmarshal(r.Outcome, decoded.outcome); err != nil {
				return errors.Wrap(err, "decoding the outcome of a claim")
			}
			if !decoded.outcome.isValid() {
				return errors.Errorf("claim %s has the outcome %q", r.Key, decoded.outcome.Execution)
			}
		}
		c.set(r.Key, decoded)
	}
	return nil
}

// encode writes the form of contentSpec by hand: encoding/json takes most of the time
// of a claim in a large object.
func (c *content) encode() ([]byte, error) {
	holders := []Owner{}
	indexes := make(map[Owner]int)
	b := make([]byte, 0, c.bytes+recordOverhead)
	b = append(b, `{"v":`...)
	if c.epochs == nil {
		b = strconv.AppendInt(b, contentFormat, 10)
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
		i, ok := indexes[r.holder]
		if !ok {
			i = len(holders)
			indexes[r.holder] = i
			holders = append(holders, r.holder)
		}
		if !first {
			b = append(b, ',')
		}
		first = false
		b = r.append(b, key, i)
	}
	names, err := json.Marshal(holders)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the holders of claims")
	}
	b = append(b, `],"h":`...)
	b = append(b, names...)
	return append(b, '}'), nil
}

// append writes the form of recordSpec.
func (r record) append(b []byte, key digest, holder int) []byte {
	b = append(b, `{"k":"`...)
	b = base64.RawURLEncoding.AppendEncode(b, key[:])
	b = append(b, `","h":`...)
	b = strconv.AppendInt(b, int64(holder), 10)
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

// clone copies the content; records are values and outcomes are never changed.
func (c *content) clone() *content {
	n := *c
	n.records = maps.Clone(c.records)
	n.holders = maps.Clone(c.holders)
	n.epochs = slices.Clone(c.epochs)
	return &n
}

func (c *content) set(key digest, r record) {
	c.remove(key)
	c.records[key] = r
	c.bytes += r.size()
	if c.holders[r.holder]++; c.holders[r.holder] == 1 {
		c.bytes += r.holder.size()
	}
}

func (c *content) remove(key digest) {
	old, ok := c.records[key]
	if !ok {
		return
	}
	delete(c.records, key)
	c.bytes -= old.size()
	if c.holders[old.holder]--; c.holders[old.holder] == 0 {
		delete(c.holders, old.holder)
		c.bytes -= old.holder.size()
	}
}

// purge removes the claims whose retention has ended.
func (c *content) purge(now time.Time) {
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

// size allows for JSON escapes of six bytes.
func (h Owner) size() int { return recordOverhead + 6*(len(h.Incarnation)+len(h.Address)) }
