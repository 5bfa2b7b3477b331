package membership

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// importance orders the changes that a table tells its peers; the lowest goes first.
type importance int

const (
	// urgent is an instance that is leaving, which must get no new work.
	urgent importance = iota
	// removal is an instance that the platform removed; calls to it fail already.
	removal
	// doubt is an entry that could not be reached.
	doubt
	// appearance is an instance that is new, or that has another process or address.
	appearance
	// refresh is any other change, such as the answer to a doubt.
	refresh
)

// sends returns the number of peers that are told. An urgent change reaches also those
// that nobody calls in time, in the replies to their own calls.
func (i importance) sends() int {
	if i == urgent {
		return urgentSends
	}
	return rumourSends
}

// rumour is a change of a record that is still told to peers.
type rumour struct {
	importance importance
	sent       int
	// platform, self and doubt are the parts of the record that changed.
	platform, self, doubt bool
}

// newBudget returns the token bucket for the bytes of rumours and repairs.
func newBudget() *rate.Limiter { return rate.NewLimiter(GossipBytesPerSecond, GossipBurstBytes) }

// Gossip is what a process tells a peer with a digest.
type Gossip struct {
	Records []Record
	// Doubts are doubts of processes that the peer is taken to know, doubtBytes each: 4
	// bytes of the hash of the name, 2 of the epoch and 2 of the beat, in big-endian order.
	Doubts []byte
}

// IsEmpty reports whether there is nothing to tell.
func (n Gossip) IsEmpty() bool { return len(n.Records) == 0 && len(n.Doubts) == 0 }

// NextGossip returns the changed parts of records to tell a peer now, the most important
// ones first, as far as the budget allows. Urgent ones may use the reserve too. Those that the peer has just told are left out.
func (t *Table) NextGossip(told Gossip) Gossip {
	t.mu.Lock()
	defer t.mu.Unlock()
	var news Gossip
	if len(t.rumours) == 0 {
		return news
	}
	known := toldKeys(told)
	affordable, spent := t.tokens(), 0
	for _, name := range t.rumoursInOrder() {
		r, e := t.rumours[name], t.entries[name]
		short, isShort := r.short(e)
		record, size := r.part(e.record), doubtBytes
		if !isShort {
			size = record.size()
		}
		fits := spent+size <= affordable || (r.importance == urgent && spent+size <= affordable+urgentReserveBytes)
		if known[e.key] || !fits || len(news.Records)+len(news.Doubts)/doubtBytes >= MaxRecords {
			continue
		}
		spent += size
		if isShort {
			news.Doubts = append(news.Doubts, short...)
		} else {
			news.Records = append(news.Records, record)
		}
		if r.sent++; r.sent >= r.importance.sends() {
			delete(t.rumours, name)
		}
	}
	t.spend(spent, -urgentReserveBytes)
	return news
}

// ApplyGossip takes in what a peer tells.
func (t *Table) ApplyGossip(news Gossip) {
	if news.IsEmpty() {
		return
	}
	t.change(func() {
		size := len(news.Doubts)
		for _, r := range news.Records[:min(len(news.Records), MaxRecords)] {
			if r.Check() != nil {
				t.scope.Counter("membershipRecordRefused").Inc(1)
				continue
			}
			size += r.size()
			t.merge(r)
		}
		t.hearDoubts(news.Doubts)
		t.spend(size, 0)
	})
}

// hearDoubts takes in doubts of the processes that the table knows. Those of others
// are left out; a comparison of buckets finds them.
func (t *Table) hearDoubts(doubts []byte) {
	if len(doubts) == 0 {
		return
	}
	told := make(map[uint32][]byte)
	for b := doubts[:min(len(doubts), MaxRecords*doubtBytes)]; len(b) >= doubtBytes; b = b[doubtBytes:] {
		told[binary.BigEndian.Uint32(b)] = b[4:doubtBytes]
	}
	for _, e := range t.entries {
		b, ok := told[e.key]
		if !ok || !e.visible || binary.BigEndian.Uint16(b) != uint16(e.record.Self.Epoch) {
			continue
		}
		t.merge(Record{Name: e.record.Name, Doubt: Suspicion{Epoch: e.record.Self.Epoch, Beat: uint64(binary.BigEndian.Uint16(b[2:]))}})
	}
}

// short returns the short form of a doubt, if nothing else changed and it has one.
func (r *rumour) short(e *entry) ([]byte, bool) {
	d := e.record.Doubt
	if r.platform || r.self || !r.doubt || d.Epoch != e.record.Self.Epoch || d.Beat > math.MaxUint16 {
		return nil, false
	}
	b := binary.BigEndian.AppendUint32(make([]byte, 0, doubtBytes), e.key)
	b = binary.BigEndian.AppendUint16(b, uint16(d.Epoch))
	return binary.BigEndian.AppendUint16(b, uint16(d.Beat)), true
}

// toldKeys returns the keys of the records that the news are about.
func toldKeys(news Gossip) map[uint32]bool {
	keys := make(map[uint32]bool)
	for _, r := range news.Records {
		keys[keyOf(r.Name)] = true
	}
	for b := news.Doubts; len(b) >= doubtBytes; b = b[doubtBytes:] {
		keys[binary.BigEndian.Uint32(b)] = true
	}
	return keys
}

// HasRumours reports whether changes wait to be told.
func (t *Table) HasRumours() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rumours) > 0
}

// AvailableBytes returns the bytes that the spread of changes may take now.
func (t *Table) AvailableBytes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(0, t.tokens())
}

// ConsumeBytes takes bytes from the budget, as far as there are any.
func (t *Table) ConsumeBytes(bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spend(bytes, 0)
}

// tokens returns what is left of the budget; it is negative in debt.
func (t *Table) tokens() int { return int(t.budget.TokensAt(time.Now())) }

// spend takes bytes from the budget until floor is left.
func (t *Table) spend(bytes, floor int) {
	if n := min(bytes, t.tokens()-floor, GossipBurstBytes); n > 0 {
		t.budget.ReserveN(time.Now(), n)
	}
}

// rumoursInOrder returns the names of the rumours, the most important and least told
// ones first.
func (t *Table) rumoursInOrder() []string {
	names := make([]string, 0, len(t.rumours))
	for name := range t.rumours {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		x, y := t.rumours[a], t.rumours[b]
		return cmp.Or(cmp.Compare(x.importance, y.importance), cmp.Compare(x.sent, y.sent), cmp.Compare(a, b))
	})
	return names
}

// note makes a rumour of a change of the entry, which was as given before. The caller holds mu.
func (t *Table) note(before entry, e *entry) {
	if t.self.Instance.Role != fleet.RoleEntry || (!before.visible && !e.visible) {
		return
	}
	level := importanceOf(before, e)
	if level >= appearance && (t.isBulk || len(t.rumours) >= maxRumours) {
		return
	}
	r, ok := t.rumours[e.record.Name]
	if !ok {
		r = &rumour{importance: level}
		t.rumours[e.record.Name] = r
	}
	// A record that is leaving stays urgent when it changes again.
	if r.importance != urgent || level == removal {
		r.importance = level
	}
	r.sent = 0
	r.platform = r.platform || before.record.Platform != e.record.Platform
	r.self = r.self || before.record.Self != e.record.Self
	r.doubt = r.doubt || before.record.Doubt != e.record.Doubt
}

func importanceOf(before entry, e *entry) importance {
	switch {
	case before.visible && !e.visible:
		return removal
	case e.instance.Phase == fleet.PhaseLeaving && before.instance.Phase != fleet.PhaseLeaving:
		return urgent
	case e.doubted && !before.doubted:
		return doubt
	case e.instance != before.instance:
		return appearance
	}
	return refresh
}

// part returns what the rumour tells of the record. A join takes it like a whole record.
func (r *rumour) part(record Record) Record {
	p := Record{Name: record.Name}
	if r.platform {
		p.Platform = record.Platform
	}
	if r.self {
		p.Self = record.Self
	}
	if r.doubt {
		p.Doubt = record.Doubt
	}
	return p
}

// size is about the number of bytes that the record takes in a message.
func (r Record) size() int {
	n := recordBytes + len(r.Name)
	for _, i := range []fleet.InstanceRecord{r.Platform.Instance, r.Self.Instance} {
		if i != (fleet.InstanceRecord{}) {
			n += instanceBytes + len(i.Name) + len(i.Role) + len(i.FailureDomain) + len(i.Address) + len(i.Stage) + len(i.Upstream) + len(i.Phase) + len(i.Incarnation)
		}
	}
	return n
}

// SizeOf is about the number of bytes that the records take in a message.
func SizeOf(records []Record) int {
	size := 0
	for _, r := range records {
		size += r.size()
	}
	return size
}
