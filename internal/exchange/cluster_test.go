package exchange

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"io"
	"math/rand/v2"
	"net/rpc"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/configuration"
	"bergamotrudder.example/bergamotrudder/internal/membership"
	"bergamotrudder.example/bergamotrudder/internal/rapidtest"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 20261204, 50) }

func discardLogger() *log.Logger { return &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}} }

var (
	errConflict    = errors.New("conflict")
	errNotFound    = errors.New("not found")
	errUnavailable = errors.New("unavailable")
	errReplyLost   = errors.New("reply lost")
)

// fault is the kind of failure of a write whose sender gets no reply.
type fault string

const (
	lostReply        fault = "lostReply"
	lostRequest      fault = "lostRequest"
	lateRequest      fault = "lateRequest"
	lateRequestDelay       = 250 * time.Millisecond
)

// memoryStore is an object store in memory that can be unavailable, and lose writes of
// the head or the replies to them.
type memoryStore struct {
	mu      sync.Mutex
	objects map[string]configuration.Object
	version int
	down    bool
	// faults are the faults of the next writes of the head.
	faults []fault
	// before is called once before the next write of the head.
	before func()
	// afterList is called once after the next list call.
	afterList func()
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: make(map[string]configuration.Object)}
}

func (m *memoryStore) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

func (m *memoryStore) setFaults(faults []fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = faults
}

func (m *memoryStore) store() configuration.Store {
	put := func(create bool) func(context.Context, string, configuration.Object) (configuration.Object, error) {
		return func(_ context.Context, kind string, o configuration.Object) (configuration.Object, error) {
			return m.write(kind, o, create)
		}
	}
	return configuration.Store{
		Get:        m.get,
		Create:     put(true),
		Update:     put(false),
		List:       m.list,
		Delete:     m.delete,
		IsConflict: func(err error) bool { return errors.Is(err, errConflict) },
		IsNotFound: func(err error) bool { return errors.Is(err, errNotFound) },
		IsWithoutEffect: func(err error) bool {
			return errors.Is(err, errUnavailable) || errors.Is(err, errConflict) || errors.Is(err, errNotFound)
		},
	}
}

func (m *memoryStore) get(_ context.Context, kind, name string) (configuration.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[kind+"/"+name]
	switch {
	case m.down:
		return configuration.Object{}, errUnavailable
	case !ok:
		return configuration.Object{}, errNotFound
	}
	return o, nil
}

func (m *memoryStore) write(kind string, o configuration.Object, create bool) (configuration.Object, error) {
	m.mu.Lock()
	before := m.before
	if kind == configuration.KindConfigurations {
		m.before = nil
	}
	m.mu.Unlock()
	if before != nil && kind == configuration.KindConfigurations {
		before()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return configuration.Object{}, errUnavailable
	}
	var f fault
	if kind == configuration.KindConfigurations && len(m.faults) > 0 {
		f, m.faults = m.faults[0], m.faults[1:]
	}
	switch f {
	case lostRequest:
		return configuration.Object{}, errReplyLost
	case lateRequest:
		time.AfterFunc(lateRequestDelay, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			_, _ = m.apply(kind, o, create)
		})
		return configuration.Object{}, errReplyLost
	}
	o, err := m.apply(kind, o, create)
	if f == lostReply {
		return configuration.Object{}, errReplyLost
	}
	return o, err
}

func (m *memoryStore) list(_ context.Context, kind string) ([]configuration.Object, error) {
	m.mu.Lock()
	var list []configuration.Object
	for name, o := range m.objects {
		if strings.HasPrefix(name, kind+"/") {
			list = append(list, o)
		}
	}
	down, after := m.down, m.afterList
	m.afterList = nil
	m.mu.Unlock()
	if down {
		return nil, errUnavailable
	}
	if after != nil {
		after()
	}
	return list, nil
}

func (m *memoryStore) delete(_ context.Context, kind, name, version string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.down:
		return errUnavailable
	case m.objects[kind+"/"+name].ResourceVersion != version:
		return errConflict
	}
	delete(m.objects, kind+"/"+name)
	return nil
}

// missing returns the hashes of sections that the stored head refers to and the store
// lacks.
func (m *memoryStore) missing() (hashes []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[configuration.KindConfigurations+"/"+configuration.HeadName]
	if !ok {
		return nil
	}
	head, err := configuration.ParseHead(o.Spec)
	if err != nil {
		panic(err)
	}
	for _, r := range head.Sections {
		if _, ok := m.objects[configuration.KindSections+"/"+r.Hash]; !ok {
			hashes = append(hashes, r.Hash)
		}
	}
	return hashes
}

// apply performs the conditional write. The caller holds mu.
func (m *memoryStore) apply(kind string, o configuration.Object, create bool) (configuration.Object, error) {
	old, ok := m.objects[kind+"/"+o.Name]
	if create == ok || (!create && old.ResourceVersion != o.ResourceVersion) {
		return configuration.Object{}, errConflict
	}
	m.version++
	o.ResourceVersion = strconv.Itoa(m.version)
	m.objects[kind+"/"+o.Name] = o
	return o, nil
}

// process is an entry or a sidecar that runs the production code.
type process struct {
	instance  fleet.InstanceRecord
	holder    *configuration.Holder
	table     *membership.Table
	fresh     *Freshness
	service   *Service
	node      *Node
	loader    *configuration.Loader
	publisher *configuration.Publisher
	stop      context.CancelFunc
}

// cluster connects processes by direct function calls.
type cluster struct {
	store *memoryStore
	// reachable reports whether a call from one address to another arrives.
	reachable func(from, to string) bool
	// unresponsive addresses accept calls and never reply.
	unresponsive map[string]bool
	// delay is the duration of a call; it needs a fake clock.
	delay time.Duration
	// roundTrip encodes and decodes messages with gob, so that processes share no memory
	// except the rumours in digests; see serve.
	roundTrip bool
	meter     *meter

	mu        sync.Mutex
	processes map[string]*process
}

func newCluster() *cluster {
	return &cluster{
		store:     newMemoryStore(),
		reachable: func(string, string) bool { return true },
		meter:     newMeter(),
		processes: make(map[string]*process),
	}
}

// start starts a process with the name and replaces any process of the same name.
func (c *cluster) start(role fleet.Role, name string, epoch uint64) *process {
	p := &process{
		instance: fleet.InstanceRecord{Name: name, Role: role, FailureDomain: fmt.Sprint("domain-", nameSeed(name)%4), Address: "10.0.0.1:" + name, Phase: fleet.PhaseLive, Incarnation: fmt.Sprintf("%032x", epoch)},
		holder:   configuration.NewHolder(discardLogger(), tally.NoopScope),
		fresh:    NewFreshness(),
	}
	p.table = membership.NewTable(p.instance, epoch, tally.NoopScope)
	p.service = NewService(p.holder, p.table, p.fresh, tally.NoopScope)
	p.loader = configuration.NewLoader(c.store.store(), p.holder)
	p.publisher = configuration.NewPublisher(c.store.store(), p.holder, configuration.NewOperationID, discardLogger(), tally.NoopScope)
	if role == fleet.RoleEntry {
		call := func(ctx context.Context, address, method string, args, reply any) error {
			return c.call(ctx, p.instance.Address, address, method, args, reply)
		}
		rng := rand.New(rand.NewPCG(epoch, uint64(len(name))+nameSeed(name)))
		p.node = NewNode(Config{}, p.holder, p.table, p.fresh, call, rng, discardLogger(), tally.NoopScope)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[p.instance.Address] = p
	return p
}

func nameSeed(name string) uint64 {
	var n uint64
	for _, b := range []byte(name) {
		n = n*31 + uint64(b)
	}
	return n
}

func (c *cluster) call(ctx context.Context, from, to, method string, args, reply any) error {
	c.mu.Lock()
	p, ok := c.processes[to]
	caller := c.processes[from]
	reachable, hangs := c.reachable(from, to), c.unresponsive[to]
	c.mu.Unlock()
	if hangs {
		<-ctx.Done()
		return ctx.Err()
	}
	if !ok || !reachable {
		return errUnavailable
	}
	if c.delay > 0 {
		time.Sleep(c.delay)
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	err := c.serve(p, method, args, reply)
	if c.meter != nil {
		c.meter.add(caller, p, method, args, reply)
	}
	return err
}

func dispatch(s *Service, method string, args, reply any) error {
	switch method {
	case MethodDigest:
		return s.Digest(args.(*DigestRequest), reply.(*DigestReply))
	case MethodPull:
		return s.Pull(args.(*PullRequest), reply.(*PullReply))
	case MethodSections:
		return s.Sections(args.(*SectionsRequest), reply.(*SectionsReply))
	case MethodPush:
		return s.Push(args.(*PushRequest), reply.(*PushReply))
	case MethodMembers:
		return s.Members(args.(*MembersRequest), reply.(*MembersReply))
	case MethodSync:
		return s.Sync(args.(*SyncRequest), reply.(*SyncReply))
	}
	return errors.Errorf("unknown method %s", method)
}

// serve calls the method and, if roundTrip is set, copies arguments and reply by gob.
// Requests of Digest, and its replies without a self-reported state, are passed uncopied,
// so that caller and callee share the records of their rumours.
func (c *cluster) serve(p *process, method string, args, reply any) error {
	if !c.roundTrip {
		return dispatch(p.service, method, args, reply)
	}
	if method != MethodDigest {
		decodedArgs := reflect.New(reflect.TypeOf(args).Elem()).Interface()
		copyByGob(args, decodedArgs)
		args = decodedArgs
	}
	gobReply := reflect.New(reflect.TypeOf(reply).Elem()).Interface()
	if err := dispatch(p.service, method, args, gobReply); err != nil {
		return err
	}
	if d, ok := gobReply.(*DigestReply); ok && d.Self == nil {
		*reply.(*DigestReply) = *d
		return nil
	}
	copyByGob(gobReply, reply)
	return nil
}

// copyByGob encodes from and decodes the result into to.
func copyByGob(from, to any) {
	var buf bytes.Buffer
	if err := gob.NewEncoder(&buf).Encode(from); err != nil {
		panic(err)
	}
	if err := gob.NewDecoder(&buf).Decode(to); err != nil {
		panic(err)
	}
}

// meter counts the bytes of messages as net/rpc encodes them on a connection that has
// already transmitted the definition of each type, without the headers of TCP and IP.
type meter struct {
	mu             sync.Mutex
	buf            bytes.Buffer
	enc            *gob.Encoder
	seq            uint64
	bytes          map[*process]int
	callsByProcess map[*process]int
	// methods are the calls and bytes by method and role of the callee.
	methods map[string]volume
	total   int
}

// volume is a number of calls and their bytes.
type volume struct{ calls, bytes int }

func newMeter() *meter {
	m := &meter{bytes: make(map[*process]int), callsByProcess: make(map[*process]int), methods: make(map[string]volume)}
	m.enc = gob.NewEncoder(&m.buf)
	for _, v := range []any{
		&DigestRequest{}, &DigestReply{Self: &membership.SelfState{}}, &PullRequest{}, &PullReply{}, &SectionsRequest{}, &SectionsReply{},
		&PushRequest{}, &PushReply{}, &MembersRequest{}, &MembersReply{}, &SyncRequest{}, &SyncReply{}, &rpc.Request{}, &rpc.Response{},
	} {
		if err := m.enc.Encode(v); err != nil {
			panic(err)
		}
	}
	return m
}

func (m *meter) add(from, to *process, method string, args, reply any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.buf.Reset()
	m.seq++
	for _, v := range []any{&rpc.Request{ServiceMethod: method, Seq: m.seq}, args, &rpc.Response{ServiceMethod: method, Seq: m.seq}, reply} {
		if err := m.enc.Encode(v); err != nil {
			panic(err)
		}
	}
	m.bytes[from] += m.buf.Len()
	m.bytes[to] += m.buf.Len()
	m.callsByProcess[from]++
	m.callsByProcess[to]++
	m.total += m.buf.Len()
	v := m.methods[method+to.methodSuffix()]
	m.methods[method+to.methodSuffix()] = volume{calls: v.calls + 1, bytes: v.bytes + m.buf.Len()}
}

func (p *process) methodSuffix() string { return " to " + string(p.instance.Role) }

func (m *meter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytes, m.callsByProcess, m.total = make(map[*process]int), make(map[*process]int), 0
	m.methods = make(map[string]volume)
}

// startFleet starts entries and sidecars whose tables know each other.
func (c *cluster) startFleet(entries, sidecars int) (all []*process) {
	var listed []membership.ListedInstance
	for i := range entries + sidecars {
		role, name := fleet.RoleEntry, fmt.Sprintf("entry-%d", i)
		if i >= entries {
			role, name = fleet.RoleSidecar, fmt.Sprintf("sidecar-%d", i-entries)
		}
		p := c.start(role, name, uint64(1000+i))
		all = append(all, p)
		listed = append(listed, membership.ListedInstance{Version: uint64(i + 1), Instance: p.instance})
	}
	var selfRecords []membership.Record
	for _, p := range all {
		selfRecords = append(selfRecords, membership.Record{Name: p.instance.Name, Self: p.table.SelfState()})
	}
	for _, p := range all[:entries] {
		p.table.Replace(uint64(len(listed)), listed)
		p.table.Merge(selfRecords)
	}
	return all
}

// run runs the node of an entry until the test ends or stop is called.
func (p *process) run(t testing.TB) {
	ctx, cancel := context.WithCancel(t.Context())
	p.stop = cancel
	if p.node != nil {
		go p.node.Run(ctx)
	}
}

// stopAll stops the processes and waits for their calls to end, because the fake clock
// stops once the test function has returned.
func stopAll(all []*process) {
	for _, p := range all {
		p.stop()
	}
	time.Sleep(2 * callTimeout)
}

func testDocument(organisations int) fleet.Document {
	doc := fleet.Document{
		Pipelines:      []fleet.Pipeline{{Name: "diagnosis", Steps: []fleet.Step{{Stage: "generate"}}, DeadlineMs: 3000}},
		Stages:         []fleet.Stage{{Name: "generate", Protocol: fleet.ProtocolChat, Model: "m", Idempotent: true, Capacity: 8, ColdCapacity: 1}},
		FailureDomains: []fleet.FailureDomain{{Name: "a"}, {Name: "b"}},
	}
	for i := range organisations {
		name := fmt.Sprintf("organisation-%d", i)
		doc.Organisations = append(doc.Organisations, fleet.Organisation{Name: name, KeySHA256: fmt.Sprintf("%064x", i), Weight: 1})
		doc.Rules = append(doc.Rules, fleet.Rule{Organisation: name, Pipeline: fleet.AnyPipeline, MaxPriority: fleet.PriorityHigh})
	}
	return doc
}
