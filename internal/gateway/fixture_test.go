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

	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/forward"
	"bergamotrudder.example/bergamotrudder/internal/intake"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/placement"
	"bergamotrudder.example/bergamotrudder/internal/quarantine"
	"bergamotrudder.example/bergamotrudder/internal/ratelimit"
	"bergamotrudder.example/bergamotrudder/internal/retry"
	"bergamotrudder.example/bergamotrudder/internal/roster"
	"bergamotrudder.example/bergamotrudder/internal/standin/pipe"
)

// Headers of the protocol that the tests use.
const (
	testID           = "Attempt"
	testRemaining    = "Left-Ms"
	testKey          = "Key"
	testPieces       = "Pieces"
	testPieceKey     = "Piece-Key"
	testParts        = "Parts"
	testInstance     = "Instance"
	testOrganisation = "Organisation"
	testInputs       = "Inputs"
	testSignature    = "Seal"
	testNotExecuted  = "Not-Run"
	testLeaving      = "Leaving"
	testLimit        = "Limit"
)

const gatewayAddress = "10.0.0.1:80"

func testDialect() *dialect.Dialect {
	return &dialect.Dialect{
		ReadRequest: func(h http.Header) dialect.Request {
			remaining, _ := strconv.Atoi(h.Get(testRemaining))
			req := dialect.Request{ID: h.Get(testID), Remaining: time.Duration(remaining) * time.Millisecond, Key: h.Get(testKey), PieceKey: h.Get(testPieceKey)}
			for _, n := range strings.Fields(h.Get(testPieces)) {
				count, _ := strconv.Atoi(n)
				req.Pieces = append(req.Pieces, count)
			}
			for _, id := range strings.Fields(h.Get(testParts)) {
				req.Parts = append(req.Parts, dialect.PromptPart{ID: id, Tokens: 100})
			}
			return req
		},
		Forward: func(in http.Header, out dialect.Outgoing) http.Header {
			h := in.Clone()
			h.Del("Content-Length")
			h.Del(testKey)
			h.Set(testRemaining, strconv.FormatInt(out.Remaining.Milliseconds(), 10))
			h.Set(testInstance, out.Instance)
			h.Set(testOrganisation, out.Organisation)
			h.Set(testInputs, strings.Join(out.Inputs, ","))
			return h
		},
		ReadResponseInfo: func(h http.Header) dialect.ResponseInfo {
			retryAfter, _ := time.ParseDuration(h.Get("Retry-After") + "s")
			limit, err := strconv.ParseFloat(h.Get(testLimit), 64)
			return dialect.ResponseInfo{ID: h.Get(testID), Signed: h.Get(testSignature) != "", NotExecuted: h.Get(testNotExecuted) != "", Leaving: h.Get(testLeaving) != "", RetryAfter: retryAfter, Limit: limit, HasLimit: err == nil}
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

// fixture is one gateway with in-memory upstreams.
type fixture struct {
	*Gateway
	t   *testing.T
	net *pipe.Network
	// peers are the services of all gateways on the network.
	peers     *peerServices
	cat       *catalog.Catalog
	crashes   *Crashes
	roster    *roster.Roster
	client    *http.Client
	logs      *lockedBuffer
	cleanups  []func()
	upstreams int
}

// peerServices are the rpc services of gateways, by address.
type peerServices struct {
	mu sync.Mutex
	at map[string]*Service
}

func newPeerServices() *peerServices { return &peerServices{at: make(map[string]*Service)} }

func (p *peerServices) put(address string, service *Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at[address] = service
}

func (p *peerServices) get(address string) *Service {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at[address]
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
// /staged/, which has two consecutive stages and a third one in parallel.
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
	return newNamedFixture(t, "gateway-1", gatewayAddress, &pipe.Network{}, newPeerServices())
}

// newNamedFixture returns a gateway on a network that it may share with others.
func newNamedFixture(t *testing.T, name, address string, network *pipe.Network, peers *peerServices) *fixture {
	t.Helper()
	f := &fixture{t: t, net: network, peers: peers, cat: catalog.New(), logs: &lockedBuffer{}}
	d := testDialect()
	logger := &log.Logger{Writer: &log.IOWriter{Writer: f.logs}}
	f.roster = roster.New(roster.Gateway{Name: name, Address: address, Incarnation: "one"})
	judge := availability.New(logger, tally.NoopScope)
	f.cat.OnChange(judge.Update)
	pool := forward.New(forward.Config{ReadResponseInfo: d.ReadResponseInfo, Observe: judge.Observe}, func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, forward.DialTimeout)
		defer cancel()
		return f.net.Dial(ctx, network, address)
	})
	stages := NewStages(judge, pool, d, f.roster, f.callPeer, logger, tally.NoopScope)
	f.crashes = NewCrashes(quarantine.New(), judge, pool, f.roster, f.callPeer, logger, tally.NoopScope)
	table := placement.New(judge, func() ratelimit.Share {
		index, count := f.roster.Share(time.Now())
		return ratelimit.Share{Index: index, Count: count}
	})
	f.peers.put(address, NewService(f.roster, stages, &CatalogSyncer{}, f.crashes, table))
	f.Gateway = New(Config{FailureDomain: "a"}, d, f.cat, judge, pool, table, stages, retry.New(tally.NoopScope), f.crashes, newTestIntake(), logger, tally.NoopScope)
	f.cat.OnChange(stages.Update)
	f.cleanups = append(f.cleanups, f.net.Serve(address, f.Gateway))
	transport := &http.Transport{DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return f.net.Dial(ctx, network, address)
	}, DisableCompression: true}
	f.client = &http.Client{Transport: transport}
	f.cleanups = append(f.cleanups, transport.CloseIdleConnections)
	return f
}

// callPeer calls another gateway without a network. A missing gateway doesn't respond.
func (f *fixture) callPeer(ctx context.Context, address, method string, args, reply any) error {
	service := f.peers.get(address)
	if service == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	done := make(chan error, 1)
	go func() {
		switch method {
		case "Gateway.Heartbeat":
			done <- service.Heartbeat(args.(*HeartbeatRequest), reply.(*HeartbeatReply))
		case "Gateway.MakePieces":
			done <- service.MakePieces(args.(*MakeRequest), reply.(*MakeReply))
		case "Gateway.CancelPieces":
			done <- service.CancelPieces(args.(*CancelRequest), reply.(*peer.Empty))
		case "Gateway.ReportCrash":
			done <- service.ReportCrash(args.(*CrashReport), reply.(*SoundParts))
		case "Gateway.FindSound":
			done <- service.FindSound(args.(*SoundQuery), reply.(*SoundParts))
		case "Gateway.ReleasePieces":
			done <- service.ReleasePieces(args.(*ReleaseRequest), reply.(*peer.Empty))
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

// newConfiguredFixture returns a fixture with testConfiguration.
func newConfiguredFixture(t *testing.T) *fixture {
	f := newFixture(t)
	f.cat.SetConfiguration(testConfiguration(), at(1))
	return f
}

func (f *fixture) close() {
	for _, stop := range f.cleanups {
		stop()
	}
	f.pool.CloseAll()
}

// upstream registers an upstream of the service that h serves; with nil, nothing listens at
// the address.
func (f *fixture) upstream(service string, h http.Handler) catalog.Upstream {
	f.upstreams++
	u := catalog.Upstream{ID: fmt.Sprintf("%s-%d", service, f.upstreams), Service: service, Address: fmt.Sprintf("10.1.0.%d:80", f.upstreams), FailureDomain: "a", Slots: 8}
	if h != nil {
		f.cleanups = append(f.cleanups, f.net.Serve(u.Address, h))
	}
	f.cat.SetUpstream(u, at(0))
	return u
}

// callerRequest is a request of a caller to the gateway.
type callerRequest struct {
	path      string
	id        string
	remaining time.Duration
	body      string
	header    http.Header
}

// responseHead is the status and the header of a response.
type responseHead struct {
	StatusCode int
	Header     http.Header
}

// send sends the request and returns the response with its whole body. The error is set if
// the response is incomplete.
func (f *fixture) send(ctx context.Context, c callerRequest) (*responseHead, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://host"+c.path, strings.NewReader(c.body))
	if err != nil {
		return nil, "", err
	}
	for name, values := range c.header {
		r.Header[name] = values
	}
	r.Header.Set(testID, c.id)
	r.Header.Set(testKey, "key")
	if c.remaining > 0 {
		r.Header.Set(testRemaining, strconv.FormatInt(c.remaining.Milliseconds(), 10))
	}
	resp, err := f.client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return &responseHead{StatusCode: resp.StatusCode, Header: resp.Header}, string(body), err
}

// respond writes a signed response to the request.
func respond(w http.ResponseWriter, r *http.Request, status int, body string) {
	w.Header().Set(testID, r.Header.Get(testID))
	w.Header().Set(testSignature, "seal")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// countingUpstream counts the requests that it ran.
type countingUpstream struct {
	mu       sync.Mutex
	requests []*http.Request
	handler  func(w http.ResponseWriter, r *http.Request)
}

func (u *countingUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// A request counts once its body has arrived.
	body, _ := io.ReadAll(r.Body)
	_ = body
	u.mu.Lock()
	u.requests = append(u.requests, r)
	u.mu.Unlock()
	if u.handler != nil {
		u.handler(w, r)
		return
	}
	respond(w, r, http.StatusOK, "done")
}

func (u *countingUpstream) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.requests)
}

// stageUpstream runs pieces in a fixed time and records which results were released.
type stageUpstream struct {
	delay time.Duration

	mu sync.Mutex
	// missingInputs is the number of calls with inputs that fail because of missing inputs.
	missingInputs int
	calls         [][]dialect.Piece
	released      []string
}

func (u *stageUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/release" {
		var handles []string
		_ = json.NewDecoder(r.Body).Decode(&handles)
		u.mu.Lock()
		defer u.mu.Unlock()
		u.released = append(u.released, handles...)
		return
	}
	var pieces []dialect.Piece
	_ = json.NewDecoder(r.Body).Decode(&pieces)
	u.mu.Lock()
	u.calls = append(u.calls, pieces)
	call := len(u.calls)
	missing := u.missingInputs > 0 && len(pieces[0].Inputs) > 0
	if missing {
		u.missingInputs--
	}
	u.mu.Unlock()
	time.Sleep(u.delay)
	results := make([]dialect.Result, len(pieces))
	for i, p := range pieces {
		if missing && len(p.Inputs) > 0 {
			results[i].Failure = dialect.FailureInputMissing
			continue
		}
		results[i].Handle = fmt.Sprintf("%s/%d/%d", p.ID, p.Stage, p.Index)
		// In the test of reruns the first two calls are of the two stages, and pieces of stage 0
		// after them are rerun.
		if p.Stage == 0 && call > 2 {
			results[i].Handle += "/again"
		}
	}
	_ = json.NewEncoder(w).Encode(results)
}

// batches returns the pieces of the calls so far.
func (u *stageUpstream) batches() [][]dialect.Piece {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([][]dialect.Piece(nil), u.calls...)
}

func (u *stageUpstream) releasedHandles() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]string(nil), u.released...)
}

// at returns the store revision with the number.
func at(number uint64) catalog.Revision { return catalog.Revision{Number: number} }

// newTestIntake returns a budget with room for all that tests send.
func newTestIntake() *intake.Budget {
	return intake.New(intake.Config{MemoryBytes: 1 << 30, Descriptors: 1 << 20}, &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, tally.NoopScope)
}
