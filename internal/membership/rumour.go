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

// importance is the priority of a rumour; the lowest value is sent first.
type importance int

const (
	// urgent: an instance is leaving and must get no new work.
	urgent importance = iota
	// removal: the platform removed an instance; calls to it fail already.
	removal
	// suspicion: an instance could not be reached.
	suspicion
	// appearance: an instance is new, or has another process or address.
	appearance
	// refresh: any other change, such as the refutation of a suspicion.
	refresh
)

// maxSends returns the number of peers to which a rumour is sent. An urgent one is sent
// to more, so that it also reaches peers that are not called soon, in the replies to
// their own calls.
func (i importance) maxSends() int {
	if i == urgent {
		return urgentSends
	}
	return rumourSends
}

// rumour is a change of a record that is still being sent to peers.
type rumour struct {
	importance importance
	sent       int
	// platform, self and suspicion are set for the fields of the record that changed.
	platform, self, suspicion bool
}

// newBudget returns the token bucket that limits the bytes of rumours and repairs.
func newBudget() *rate.Limiter { return rate.NewLimiter(GossipBytesPerSecond, GossipBurstBytes) }

// Gossip contains the rumours that a process sends to a peer with a digest.
type Gossip struct {
	Records []Record
	// Doubts are suspicions of processes that the peer is assumed to know, of
	// suspicionBytes each: 4 bytes of the hash of the name, 2 of the epoch and 2 of the
	// beat, in big-endian order.
	Doubts []byte
}

// IsEmpty reports whether there are no rumours.
func (n Gossip) IsEmpty() bool { return len(n.Records) == 0 && len(n.Doubts) == 0 }

// NextGossip returns the rumours to send to a peer now, the most important ones first,
// within the budget. Urgent ones may use the reserve too. Records that the peer has
// just sent, which received contains, are left out.
func (t *Table) NextGossip(received Gossip) Gossip {
	t.mu.Lock()
	defer t.mu.Unlock()
	var gossip Gossip
	if len(t.rumours) == 0 {
		return gossip
	}
	known := gossipKeys(received)
	available, spent := t.availableTokens(), 0
	for _, name := range t.sortedRumours() {
		r, e := t.rumours[name], t.recordsByName[name]
		shortForm, isShort := r.shortForm(e)
		record, size := r.changedFields(e.record), suspicionBytes
		if !isShort {
			size = record.size()
		}
		fits := spent+size <= available || (r.importance == urgent && spent+size <= available+urgentReserveBytes)
		if known[e.key] || !fits || len(gossip.Records)+len(gossip.Doubts)/suspicionBytes >= MaxRecords {
			continue
		}
		spent += size
		if isShort {
			gossip.Doubts = append(gossip.Doubts, shortForm...)
		} else {
			gossip.Records = append(gossip.Records, record)
		}
		if r.sent++; r.sent >= r.importance.maxSends() {
			delete(t.rumours, name)
		}
	}
	t.consume(spent, -urgentReserveBytes)
	return gossip
}

// ApplyGossip merges the rumours of a peer into the table.
func (t *Table) ApplyGossip(gossip Gossip) {
	if gossip.IsEmpty() {
		return
	}
	t.change(func() {
		size := len(gossip.Doubts)
		for _, r := range gossip.Records[:min(len(gossip.Records), MaxRecords)] {
			if r.Check() != nil {
				t.scope.Counter("membershipRecordRefused").Inc(1)
				continue
			}
			size += r.size()
			t.merge(r)
		}
		t.applySuspicions(gossip.Doubts)
		t.consume(size, 0)
	})
}

// applySuspicions merges suspicions of processes that the table knows. Those of others
// are ignored; a repair transfers them.
func (t *Table) applySuspicions(suspicions []byte) {
	if len(suspicions) == 0 {
		return
	}
	received := make(map[uint32][]byte)
	for b := suspicions[:min(len(suspicions), MaxRecords*suspicionBytes)]; len(b) >= suspicionBytes; b = b[suspicionBytes:] {
		received[binary.BigEndian.Uint32(b)] = b[4:suspicionBytes]
	}
	for _, e := range t.recordsByName {
		b, ok := received[e.key]
		if !ok || !e.visible || binary.BigEndian.Uint16(b) != uint16(e.record.Self.Epoch) {
			continue
		}
		t.merge(Record{Name: e.record.Name, Doubt: Suspicion{Epoch: e.record.Self.Epoch, Beat: uint64(binary.BigEndian.Uint16(b[2:]))}})
	}
}

// shortForm returns the short form of a suspicion, or false if anything else changed or
// the suspicion has no short form.
func (r *rumour) shortForm(e *tableRecord) ([]byte, bool) {
	d := e.record.Doubt
	if r.platform || r.self || !r.suspicion || d.Epoch != e.record.Self.Epoch || d.Beat > math.MaxUint16 {
		return nil, false
	}
	b := binary.BigEndian.AppendUint32(make([]byte, 0, suspicionBytes), e.key)
	b = binary.BigEndian.AppendUint16(b, uint16(d.Epoch))
	return binary.BigEndian.AppendUint16(b, uint16(d.Beat)), true
}

// gossipKeys returns the keys of the records to which the gossip refers.
func gossipKeys(gossip Gossip) map[uint32]bool {
	keys := make(map[uint32]bool)
	for _, r := range gossip.Records {
		keys[keyOf(r.Name)] = true
	}
	for b := gossip.Doubts; len(b) >= suspicionBytes; b = b[suspicionBytes:] {
		keys[binary.BigEndian.Uint32(b)] = true
	}
	return keys
}

// HasRumours reports whether there are rumours to send.
func (t *Table) HasRumours() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rumours) > 0
}

// AvailableBytes returns the number of bytes that rumours and repairs may use now.
func (t *Table) AvailableBytes() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(0, t.availableTokens())
}

// ConsumeBytes takes bytes from the budget, at most as many as are available.
func (t *Table) ConsumeBytes(bytes int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.consume(bytes, 0)
}

// availableTokens returns the remaining budget, which is negative if it is overdrawn.
func (t *Table) availableTokens() int { return int(t.budget.TokensAt(time.Now())) }

// consume takes bytes from the budget, but leaves at least floor.
func (t *Table) consume(bytes, floor int) {
	if n := min(bytes, t.availableTokens()-floor, GossipBurstBytes); n > 0 {
		t.budget.ReserveN(time.Now(), n)
	}
}

// sortedRumours returns the names of the rumours by importance, and among equals those
// sent least often first.
func (t *Table) sortedRumours() []string {
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

// recordRumour adds or updates the rumour about the change of the record from before
// to e. The caller holds mu.
func (t *Table) recordRumour(before tableRecord, e *tableRecord) {
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
	// A rumour that an instance is leaving stays urgent when the record changes again.
	if r.importance != urgent || level == removal {
		r.importance = level
	}
	r.sent = 0
	r.platform = r.platform || before.record.Platform != e.record.Platform
	r.self = r.self || before.record.Self != e.record.Self
	r.suspicion = r.suspicion || before.record.Doubt != e.record.Doubt
}

func importanceOf(before tableRecord, e *tableRecord) importance {
	switch {
	case before.visible && !e.visible:
		return removal
	case e.instance.Phase == fleet.PhaseLeaving && before.instance.Phase != fleet.PhaseLeaving:
		return urgent
	case e.suspected && !before.suspected:
		return suspicion
	case e.instance != before.instance:
		return appearance
	}
	return refresh
}

// changedFields returns a record with only the fields that the rumour is about. It can
// be joined like a complete record.
func (r *rumour) changedFields(record Record) Record {
	p := Record{Name: record.Name}
	if r.platform {
		p.Platform = record.Platform
	}
	if r.self {
		p.Self = record.Self
	}
	if r.suspicion {
		p.Doubt = record.Doubt
	}
	return p
}

// size returns the approximate number of bytes of the record in a message.
func (r Record) size() int {
	n := recordOverheadBytes + len(r.Name)
	for _, i := range []fleet.InstanceRecord{r.Platform.Instance, r.Self.Instance} {
		if i != (fleet.InstanceRecord{}) {
			n += instanceOverheadBytes + len(i.Name) + len(i.Role) + len(i.FailureDomain) + len(i.Address) + len(i.Stage) + len(i.Upstream) + len(i.Phase) + len(i.Incarnation)
		}
	}
	return n
}

// SizeOf returns the approximate number of bytes of the records in a message.
func SizeOf(records []Record) int {
	size := 0
	for _, r := range records {
		size += r.size()
	}
	return size
}
