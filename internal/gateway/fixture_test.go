package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/forward"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/placement"
	"bergamotrudder.example/bergamotrudder/internal/retry"
	"bergamotrudder.example/bergamotrudder/internal/roster"
	"bergamotrudder.example/bergamotrudder/internal/standin/pipe"
)

// Headers of the tests' own wire.
const (
	testID       = "Attempt"
	testLeft     = "Left-Ms"
	testKey      = "Key"
	testPieces   = "Pieces"
	testPieceKey = "Piece-Key"
	testInstance = "Instance"
	testOrg      = "Organisation"
	testInputs   = "Inputs"
	testSeal     = "Seal"
	testNotRun   = "Not-Run"
)

const gatewayAddress = "10.0.0.1:80"

func testDialect() *dialect.Dialect {
	return &dialect.Dialect{
		ReadRequest: func(h http.Header) dialect.Request {
			left, _ := strconv.Atoi(h.Get(testLeft))
			req := dialect.Request{ID: h.Get(testID), Remaining: time.Duration(left) * time.Millisecond, Key: h.Get(testKey), PieceKey: h.Get(testPieceKey)}
			for _, n := range strings.Fields(h.Get(testPieces)) {
				count, _ := strconv.Atoi(n)
				req.Pieces = append(req.Pieces, count)
			}
			return req
		},
		Forward: func(in http.Header, out dialect.Outgoing) http.Header {
			h := in.Clone()
			h.Del("Content-Length")
			h.Del(testKey)
			h.Set(testLeft, strconv.FormatInt(out.Remaining.Milliseconds(), 10))
			h.Set(testInstance, out.Instance)
			h.Set(testOrg, out.Organisation)
			h.Set(testInputs, strings.Join(out.Inputs, ","))
			return h
		},
		ReadResponseInfo: func(h http.Header) dialect.ResponseInfo {
			return dialect.ResponseInfo{ID: h.Get(testID), Signed: h.Get(testSeal) != "", NotExecuted: h.Get(testNotRun) != ""}
		},
		BatchPath:   "/batch",
		ReleasePath: "/release",
		EncodeBatch: func(pieces []dialect.Piece) ([]byte, error) { return json.Marshal(pieces) },
		EncodeRelease: func(handles []string) ([]byte, error) {
			return json.Marshal(handles)
		},
		DecodeBatch: func(b []byte) ([]dialect.Result, error) {
			var results []dialect.Result
			return results, json.Unmarshal(b, &results)
		},
		BatchHeader: func(instance string) http.Header { return http.Header{testInstance: {instance}} },
	}
}

// fixture is one gateway with upstreams in memory.
type fixture struct {
	*Gateway
	t   *testing.T
	net *pipe.Network
	// others are the services of other gateways by address.
	others *services
	cat    *catalog.Catalog
	roster *roster.Roster
	client *http.Client
	logs   *lockedBuffer
	stops  []func()
	next   int
}

// services are the gateways that answer others, by address.
type services struct {
	mu sync.Mutex
	at map[string]*Service
}

func newServices() *services { return &services{at: make(map[string]*Service)} }

func (s *services) put(address string, service *Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[address] = service
}

func (s *services) get(address string) *Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.at[address]
}

type lockedBuffer struct {
	mu sync.Mutex
	b  strings.Builder
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

const (
	plainService  = "dispatch"
	engineService = "model"
	stageService  = "billing"
)

// testConfiguration has a route of each kind: /unsafe/, /safe/, /stream/, /resume/ and
// /staged/, which has two stages in a row and one beside them.
func testConfiguration() catalog.Configuration {
	route := func(name string, kind catalog.Kind, service string) catalog.Route {
		return catalog.Route{
			Name: name, Host: "host", PathPrefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second,
			Objective: time.Second, Attempts: 2, Targets: []catalog.Target{{Service: service, Weight: 1}},
		}
	}
	resume := route("resume", catalog.KindStreaming, engineService)
	resume.Resumable = true
	staged := route("staged", catalog.KindStreaming, engineService)
	staged.Stages = []catalog.Stage{
		{Service: stageService, ResultBytes: 1000},
		{Service: stageService, After: []int{0}, ResultBytes: 1000},
		{Service: stageService, ResultBytes: 1000},
	}
	return catalog.Configuration{
		Version: 1,
		Routes: []catalog.Route{
			route("unsafe", catalog.KindUnsafe, plainService), route("safe", catalog.KindSafe, plainService),
			route("stream", catalog.KindStreaming, engineService), resume, staged,
		},
		Services: []catalog.Service{
			{Name: plainService},
			{Name: engineService, ColdRate: 20, Engine: &catalog.Engine{Slots: 8, CapacityTokens: 100_000}},
			{Name: stageService, Batch: &catalog.Batch{Slots: 1, Queue: 2, Size: 4, CallTime: 100 * time.Millisecond, PieceTime: 10 * time.Millisecond, ResultCapacityBytes: 1 << 20, ResultTTL: 4 * time.Second}},
		},
		Organisations: []catalog.Organisation{{Name: "okafor", Keys: []string{"key"}}},
		Limits:        catalog.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, IdleTimeout: 15 * time.Second},
	}
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newNamedFixture(t, "gateway-1", gatewayAddress, &pipe.Network{}, newServices())
}

// newNamedFixture returns a gateway that shares a network with others.
func newNamedFixture(t *testing.T, name, address string, network *pipe.Network, others *services) *fixture {
	t.Helper()
	f := &fixture{t: t, net: network, others: others, cat: catalog.New(), logs: &lockedBuffer{}}
	d := testDialect()
	logger := &log.Logger{Writer: &log.IOWriter{Writer: f.logs}}
	f.roster = roster.New(roster.Gateway{Name: name, Address: address, Incarnation: "one"})
	pool := forward.New(forward.Config{ReadResponseInfo: d.ReadResponseInfo}, func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, forward.DialTimeout)
		defer cancel()
		return f.net.Dial(ctx, network, address)
	})
	stages := NewStages(pool, d, f.roster, f.callOther, logger, tally.NoopScope)
	f.others.put(address, NewService(f.roster, stages, nil))
	table := placement.New(func() int { return f.roster.ShareCount(time.Now()) })
	f.Gateway = New(Config{FailureDomain: "a"}, d, f.cat, pool, table, stages, retry.New(tally.NoopScope), logger, tally.NoopScope)
	f.cat.OnChange(stages.Update)
	f.stops = append(f.stops, f.net.Serve(address, f.Gateway))
	transport := &http.Transport{DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return f.net.Dial(ctx, network, address)
	}, DisableCompression: true}
	f.client = &http.Client{Transport: transport}
	f.stops = append(f.stops, transport.CloseIdleConnections)
	return f
}

// callOther calls another gateway without a network. A gateway that isn't there is silent.
func (f *fixture) callOther(ctx context.Context, address, method string, args, reply any) error {
	other := f.others.get(address)
	if other == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	done := make(chan error, 1)
	go func() {
		switch method {
		case "Gateway.Heartbeat":
			done <- other.Heartbeat(args.(*HeartbeatRequest), reply.(*HeartbeatReply))
		case "Gateway.MakePieces":
			done <- other.MakePieces(args.(*MakeRequest), reply.(*MakeReply))
		case "Gateway.CancelPieces":
			done <- other.CancelPieces(args.(*CancelRequest), reply.(*peer.Empty))
		case "Gateway.ReleasePieces":
			done <- other.ReleasePieces(args.(*ReleaseRequest), reply.(*peer.Empty))
		default:
			done <- fmt.Errorf("unknown method %s", method)
		}
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// configured returns a fixture with the tests' configuration.
func configured(t *testing.T) *fixture {
	f := newFixture(t)
	f.cat.SetConfiguration(testConfiguration(), 1)
	return f
}

func (f *fixture) close() {
	for _, stop := range f.stops {
		stop()
	}
	f.pool.CloseAll()
}

// upstream registers an upstream of the service that is served by h; nil leaves the
// address without a listener.
func (f *fixture) upstream(service string, h http.Handler) catalog.Upstream {
	f.next++
	u := catalog.Upstream{ID: fmt.Sprintf("%s-%d", service, f.next), Service: service, Address: fmt.Sprintf("10.1.0.%d:80", f.next), FailureDomain: "a", Slots: 8}
	if h != nil {
		f.stops = append(f.stops, f.net.Serve(u.Address, h))
	}
	f.cat.SetUpstream(u, 0)
	return u
}

// caller is a request to the gateway.
type caller struct {
	path   string
	id     string
	left   time.Duration
	body   string
	header http.Header
}

// reply is the head of an answer.
type reply struct {
	StatusCode int
	Header     http.Header
}

// send runs the request and returns its answer with the whole body. The error is set if
// the answer did not arrive whole.
func (f *fixture) send(ctx context.Context, c caller) (*reply, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://host"+c.path, strings.NewReader(c.body))
	if err != nil {
		return nil, "", err
	}
	for name, values := range c.header {
		r.Header[name] = values
	}
	r.Header.Set(testID, c.id)
	r.Header.Set(testKey, "key")
	if c.left > 0 {
		r.Header.Set(testLeft, strconv.FormatInt(c.left.Milliseconds(), 10))
	}
	resp, err := f.client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return &reply{StatusCode: resp.StatusCode, Header: resp.Header}, string(body), err
}

// answer writes a sealed answer to the request.
func answer(w http.ResponseWriter, r *http.Request, status int, body string) {
	w.Header().Set(testID, r.Header.Get(testID))
	w.Header().Set(testSeal, "seal")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// counted is an upstream that counts the requests that it ran.
type counted struct {
	mu   sync.Mutex
	runs []*http.Request
	then func(w http.ResponseWriter, r *http.Request)
}

func (c *counted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_ = body
	c.mu.Lock()
	c.runs = append(c.runs, r)
	c.mu.Unlock()
	if c.then != nil {
		c.then(w, r)
		return
	}
	answer(w, r, http.StatusOK, "done")
}

func (c *counted) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runs)
}

// stageUpstream makes pieces in a fixed time and remembers what was released.
type stageUpstream struct {
	delay time.Duration

	mu sync.Mutex
	// lost is the number of calls with inputs that find their inputs gone.
	lost     int
	calls    [][]dialect.Piece
	released []string
}

func (s *stageUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/release" {
		var handles []string
		_ = json.NewDecoder(r.Body).Decode(&handles)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.released = append(s.released, handles...)
		return
	}
	var pieces []dialect.Piece
	_ = json.NewDecoder(r.Body).Decode(&pieces)
	s.mu.Lock()
	s.calls = append(s.calls, pieces)
	call := len(s.calls)
	gone := s.lost > 0 && len(pieces[0].Inputs) > 0
	if gone {
		s.lost--
	}
	s.mu.Unlock()
	time.Sleep(s.delay)
	results := make([]dialect.Result, len(pieces))
	for i, p := range pieces {
		if gone && len(p.Inputs) > 0 {
			results[i].Failure = dialect.FailureInputMissing
			continue
		}
		results[i].Handle = fmt.Sprintf("%s/%d/%d", p.ID, p.Stage, p.Index)
		if p.Stage == 0 && call > 2 {
			results[i].Handle += "/again"
		}
	}
	_ = json.NewEncoder(w).Encode(results)
}

// made returns the calls so far.
func (s *stageUpstream) made() [][]dialect.Piece {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([][]dialect.Piece(nil), s.calls...)
}

func (s *stageUpstream) freed() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.released...)
}
