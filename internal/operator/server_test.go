package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
	"bergamotrudder.example/bergamotrudder/pkg/problem"
)

const testKey = "operators-key-0123"

var (
	errChanged    = errors.New("changed")
	errNotWritten = errors.New("store down")
	errUnresolved = errors.New("reply lost")
)

// fakeFleet accepts commits on its current generation and sets ChangedAt of changed
// failure domains.
type fakeFleet struct {
	t       *testing.T
	mu      sync.Mutex
	cfg     *fleet.Configuration
	commits int
	// beforeCommit runs once before the next commit; its error fails the commit.
	beforeCommit func() error
}

func newFakeFleet(t *testing.T) *fakeFleet {
	doc := fleet.Document{
		Stages:         []fleet.Stage{{Name: "generate", Protocol: fleet.ProtocolChat, Model: "m", Capacity: 8, ColdCapacity: 1}},
		Pipelines:      []fleet.Pipeline{{Name: "diagnosis", Steps: []fleet.Step{{Stage: "generate"}}, DeadlineMs: 3000}},
		FailureDomains: []fleet.FailureDomain{{Name: "a"}, {Name: "b"}},
		Organisations:  []fleet.Organisation{{Name: "acme", KeySHA256: strings.Repeat("a", 64), Weight: 1}},
		Rules:          []fleet.Rule{{Organisation: "acme", Pipeline: "*", MaxPriority: fleet.PriorityHigh}},
	}
	f := &fakeFleet{t: t}
	f.set(7, doc)
	return f
}

func (f *fakeFleet) set(generation uint64, doc fleet.Document) {
	cfg, err := fleet.New(generation, doc)
	if err != nil {
		f.t.Fatal(err)
	}
	f.cfg = cfg
}

func (f *fakeFleet) current() *fleet.Configuration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cfg
}

func (f *fakeFleet) commit(_ context.Context, base uint64, doc fleet.Document) (uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if beforeCommit := f.beforeCommit; beforeCommit != nil {
		f.beforeCommit = nil
		if err := beforeCommit(); err != nil {
			return 0, err
		}
	}
	if base != f.cfg.Generation() {
		return 0, errChanged
	}
	old := f.cfg.Document()
	doc.FailureDomains = slices.Clone(doc.FailureDomains)
	for i := range doc.FailureDomains {
		if i >= len(old.FailureDomains) || doc.FailureDomains[i] != old.FailureDomains[i] {
			doc.FailureDomains[i].ChangedAt = base + 1
		}
	}
	f.commits++
	f.set(base+1, doc)
	return base + 1, nil
}

// commitAsOther commits a change of the failure domain at the index as another operator.
func (f *fakeFleet) commitAsOther(i int) {
	doc := f.cfg.Document()
	doc.FailureDomains = slices.Clone(doc.FailureDomains)
	doc.FailureDomains[i].OutOfService = !doc.FailureDomains[i].OutOfService
	doc.FailureDomains[i].ChangedAt = f.cfg.Generation() + 1
	f.set(f.cfg.Generation()+1, doc)
}

func classify(err error) CommitFailure {
	switch {
	case errors.Is(err, errChanged):
		return CommitConflict
	case errors.Is(err, errNotWritten):
		return CommitNotWritten
	case errors.Is(err, errUnresolved):
		return CommitUnresolved
	}
	return CommitFailed
}

func newServer(f *fakeFleet) *Server {
	s := New(Dependencies{
		Key:      func() (string, error) { return testKey, nil },
		Current:  f.current,
		Commit:   f.commit,
		Classify: classify,
		Status: func(context.Context) (Status, error) {
			return Status{
				Upstreams: []UpstreamStatus{{Name: "r1", FailureDomain: "a", State: StateWarming, Reason: "started"}, {Name: "r2", FailureDomain: "a", State: StateActive}},
				Processes: []ProcessStatus{{Name: "side-1", Address: "10.0.0.5:7100", Phase: fleet.PhaseLive, Generation: 6}},
			}, nil
		},
		Dump: func(_ context.Context, address string) ([]byte, error) {
			return json.Marshal(map[string]string{"address": address})
		},
		Logger: &log.Logger{Level: log.PanicLevel},
		Scope:  tally.NoopScope,
	})
	s.pause = func(context.Context, time.Duration) {}
	return s
}

func send(s *Server, method, target, body string, header ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

func wantProblem(t *testing.T, resp *httptest.ResponseRecorder, status int, reason string, execution fleet.Execution) *problem.Problem {
	t.Helper()
	p, err := problem.FromResponse(resp.Result())
	if err != nil {
		t.Fatal(err)
	}
	if resp.Code != status || p.Reason != reason || p.Execution != execution {
		t.Fatalf("got %v, want %d %s %s", p, status, reason, execution)
	}
	return p
}

func wantAccepted(t *testing.T, resp *httptest.ResponseRecorder, generation uint64, changes int) {
	t.Helper()
	var a PutResult
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil {
		t.Fatal(err)
	}
	if resp.Code != http.StatusOK || a.Generation != generation || len(a.Changes) != changes {
		t.Fatalf("got status %d and %+v, want generation %d with %d changes", resp.Code, a, generation, changes)
	}
	if tag := resp.Header().Get("ETag"); tag != fmt.Sprintf(`"%d"`, generation) {
		t.Errorf("the entity tag is %s", tag)
	}
}

const outSheet = "kind,name,state\ngeneration,7\nfailureDomain,a,out\n"

// Guards against serving requests, or changing the fleet, without the key.
func TestWrongKeyIsRefused(t *testing.T) {
	f := newFakeFleet(t)
	s := newServer(f)
	for _, value := range []string{"", "Bearer ", "Bearer wrong", testKey} {
		resp := send(s, http.MethodPut, "/v1/sheet", outSheet, "Authorization", value)
		wantProblem(t, resp, http.StatusUnauthorized, ReasonWrongKey, "")
	}
	if f.commits != 0 {
		t.Error("a refused request was committed")
	}
	s.deps.Key = func() (string, error) { return "", nil }
	wantProblem(t, send(s, http.MethodGet, "/v1/status", "", "Authorization", "Bearer "), http.StatusUnauthorized, ReasonWrongKey, "")
}

// Guards against a dry run that commits, and against a second commit when a sheet is
// sent again after a lost response.
func TestSheetIsAppliedOnce(t *testing.T) {
	f := newFakeFleet(t)
	s := newServer(f)
	wantAccepted(t, send(s, http.MethodPut, "/v1/sheet?dryRun=true", outSheet), 7, 1)
	if f.commits != 0 {
		t.Fatal("the dry run was committed")
	}
	wantAccepted(t, send(s, http.MethodPut, "/v1/sheet", outSheet), 8, 1)
	wantAccepted(t, send(s, http.MethodPut, "/v1/sheet", outSheet), 8, 0)
	if f.commits != 1 || !f.current().Document().FailureDomains[0].OutOfService {
		t.Errorf("got %d commits of %+v", f.commits, f.current().Document().FailureDomains)
	}
}

// Guards against overwriting a change that another operator committed between plan and
// commit, and against rejecting a sheet whose items no one else changed.
func TestRacingOperators(t *testing.T) {
	f := newFakeFleet(t)
	s := newServer(f)
	f.beforeCommit = func() error { f.commitAsOther(1); return nil }
	wantAccepted(t, send(s, http.MethodPut, "/v1/sheet", outSheet), 9, 1)
	if d := f.current().Document().FailureDomains; !d[0].OutOfService || !d[1].OutOfService {
		t.Errorf("one operator's change is missing: %+v", d)
	}
	f.beforeCommit = func() error { f.commitAsOther(0); return nil }
	resp := send(s, http.MethodPut, "/v1/sheet", "kind,name,state\ngeneration,9\nfailureDomain,b,in\nfailureDomain,a,in\n")
	wantAccepted(t, resp, 11, 1)
	resp = send(s, http.MethodPut, "/v1/sheet", "kind,name,state\ngeneration,9\nfailureDomain,a,out\n")
	p := wantProblem(t, resp, http.StatusConflict, ReasonSheetConflict, fleet.NotStarted)
	if len(p.Faults) != 1 || p.Faults[0].Row != 3 || p.Generation != 11 {
		t.Errorf("the conflict is %+v", p)
	}
}

// Guards against reporting that nothing changed when that is not known.
func TestCommitFailuresReportTheirEffect(t *testing.T) {
	f := newFakeFleet(t)
	s := newServer(f)
	for _, c := range []struct {
		err       error
		status    int
		reason    string
		execution fleet.Execution
	}{
		{errNotWritten, http.StatusServiceUnavailable, ReasonNotWritten, fleet.NotStarted},
		{errUnresolved, http.StatusGatewayTimeout, ReasonUnresolved, fleet.Unknown},
		{&fleet.InvalidError{Faults: []fleet.Fault{{Item: "x"}}}, http.StatusUnprocessableEntity, ReasonInvalidConfiguration, fleet.NotStarted},
		{errors.New("odd"), http.StatusInternalServerError, ReasonInternal, fleet.NotStarted},
	} {
		f.beforeCommit = func() error { return c.err }
		wantProblem(t, send(s, http.MethodPut, "/v1/sheet", outSheet), c.status, c.reason, c.execution)
	}
}

// Guards against partially applying a sheet with faults, and against reporting only the
// first fault.
func TestFaultsAreReportedByRow(t *testing.T) {
	f := newFakeFleet(t)
	s := newServer(f)
	resp := send(s, http.MethodPut, "/v1/sheet", outSheet+"failureDomain,b,away\nzone,c,in\n")
	p := wantProblem(t, resp, http.StatusUnprocessableEntity, ReasonInvalidSheet, fleet.NotStarted)
	if len(p.Faults) != 2 || p.Faults[0].Row != 4 || p.Faults[0].Field != "state" || p.Faults[1].Row != 5 {
		t.Errorf("got faults %+v", p.Faults)
	}
	if f.commits != 0 {
		t.Error("a sheet with faults was committed")
	}
}

// Guards against replacing a document that the operator has not read.
func TestConfigurationRequiresItsGeneration(t *testing.T) {
	f := newFakeFleet(t)
	s := newServer(f)
	var got Configuration
	if err := json.NewDecoder(send(s, http.MethodGet, "/v1/configuration", "").Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	got.Document.Pipelines[0].DeadlineMs = 5000
	body, err := json.Marshal(got.Document)
	if err != nil {
		t.Fatal(err)
	}
	put := func(body, match string) *httptest.ResponseRecorder {
		return send(s, http.MethodPut, "/v1/configuration", body, "If-Match", match)
	}
	wantProblem(t, put(string(body), ""), http.StatusPreconditionRequired, ReasonPreconditionMissing, fleet.NotStarted)
	wantProblem(t, put(string(body), `"6"`), http.StatusPreconditionFailed, ReasonPreconditionFailed, fleet.NotStarted)
	wantProblem(t, put(`{"pipelines":[{"nome":"x"}]}`, `"7"`), http.StatusBadRequest, ReasonMalformed, fleet.NotStarted)
	wantProblem(t, put(`{"pipelines":[{"name":"X"}]}`, `"7"`), http.StatusUnprocessableEntity, ReasonInvalidConfiguration, fleet.NotStarted)
	wantProblem(t, put(strings.Repeat(" ", MaxDocumentBytes+1), `"7"`), http.StatusRequestEntityTooLarge, ReasonTooLarge, fleet.NotStarted)
	wantAccepted(t, put(string(body), `"7"`), 8, 0)
	if p, _ := f.current().Pipeline("diagnosis"); p.DeadlineMs != 5000 {
		t.Errorf("the deadline is %d", p.DeadlineMs)
	}
	f.beforeCommit = func() error { return errChanged }
	wantProblem(t, put(string(body), `"8"`), http.StatusConflict, ReasonConfigurationChanged, fleet.NotStarted)
}

// Guards against a fleet that can't get its first configuration, and against a first
// configuration that replaces one which this entry has not loaded yet.
func TestFirstConfiguration(t *testing.T) {
	f := newFakeFleet(t)
	s := newServer(f)
	body, err := json.Marshal(f.cfg.Document())
	if err != nil {
		t.Fatal(err)
	}
	s.deps.Current = func() *fleet.Configuration { return nil }
	put := func() *httptest.ResponseRecorder {
		return send(s, http.MethodPut, "/v1/configuration", string(body), "If-Match", `"0"`)
	}
	wantProblem(t, put(), http.StatusConflict, ReasonConfigurationChanged, fleet.NotStarted)
	f.set(0, fleet.Document{})
	wantAccepted(t, put(), 1, 0)
}

// Guards against sending the shared secret to an address from the request.
func TestDumpCallsKnownInstancesOnly(t *testing.T) {
	s := newServer(newFakeFleet(t))
	wantProblem(t, send(s, http.MethodGet, "/v1/dump?instance=10.6.6.6:80", ""), http.StatusNotFound, ReasonUnknownInstance, "")
	var got map[string]string
	if err := json.NewDecoder(send(s, http.MethodGet, "/v1/dump?instance=side-1", "").Body).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if got["address"] != "10.0.0.5:7100" {
		t.Errorf("the dump came from %q", got["address"])
	}
}

// Guards against error responses that aren't problem documents, and against a crash on
// a panic of a handler.
func TestEveryErrorIsAProblem(t *testing.T) {
	s := newServer(newFakeFleet(t))
	wantProblem(t, send(s, http.MethodGet, "/v2", ""), http.StatusNotFound, ReasonUnknownPath, "")
	resp := send(s, http.MethodDelete, "/v1/sheet", "")
	if allow := resp.Header().Get("Allow"); allow != "GET, PUT" {
		t.Errorf("Allow is %q", allow)
	}
	wantProblem(t, resp, http.StatusMethodNotAllowed, ReasonWrongMethod, "")
	s.deps.Dump = func(context.Context, string) ([]byte, error) { panic("odd") }
	wantProblem(t, send(s, http.MethodGet, "/v1/dump", ""), http.StatusInternalServerError, ReasonInternal, "")
	s.deps.Current = func() *fleet.Configuration { return nil }
	wantProblem(t, send(s, http.MethodPut, "/v1/sheet", outSheet), http.StatusServiceUnavailable, ReasonNoConfiguration, fleet.NotStarted)
}

// Guards against a client that is incompatible with the server.
func TestClient(t *testing.T) {
	f := newFakeFleet(t)
	hs := httptest.NewServer(newServer(f))
	defer hs.Close()
	c := NewClient(hs.Listener.Addr().String(), testKey)
	ctx := context.Background()
	csv, err := c.Sheet(ctx)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(csv), "failureDomain,a,in", "failureDomain,a,out", 1)
	accepted, err := c.PutSheet(ctx, []byte(changed), PutOptions{IfMatch: 7})
	if err != nil || accepted.Generation != 8 || accepted.Changes[0].Name != "a" {
		t.Fatalf("got %+v, %v", accepted, err)
	}
	status, err := c.Status(ctx)
	if err != nil || len(status.FailureDomains) != 2 || !status.FailureDomains[0].OutOfService || status.FailureDomains[0].States[StateWarming] != 1 {
		t.Errorf("got status %+v, %v", status, err)
	}
	if outdated := status.OutdatedProcesses(8); len(outdated) != 1 || len(status.OutdatedProcesses(6)) != 0 {
		t.Errorf("outdated processes are %v", outdated)
	}
	var refused *ProblemError
	if _, err := c.PutSheet(ctx, []byte(changed), PutOptions{IfMatch: 7}); !errors.As(err, &refused) || refused.Problem.Status != http.StatusPreconditionFailed {
		t.Errorf("an old generation gave %v", err)
	}
	hs.Close()
	if _, err := c.Status(ctx); err == nil {
		t.Error("a closed server gave a status")
	}
}
