package gateway

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/pieces"
)

// graphUpstream runs the pieces of all stages of a route, and checks that each gets one result
// of each piece of the stages that its own depends on.
type graphUpstream struct {
	after  [][]int
	counts []int
	delays []time.Duration
	// isLost decides whether a call finds its inputs missing.
	isLost func(p dialect.Piece) bool

	mu       sync.Mutex
	made     map[string]dialect.Piece
	released map[string]int
	wrong    []string
	calls    int
}

func (u *graphUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/release" {
		var handles []string
		_ = json.NewDecoder(r.Body).Decode(&handles)
		u.mu.Lock()
		defer u.mu.Unlock()
		for _, h := range handles {
			u.released[h]++
		}
		return
	}
	var batch []dialect.Piece
	_ = json.NewDecoder(r.Body).Decode(&batch)
	results := u.begin(batch)
	time.Sleep(u.delays[batch[0].Stage])
	_ = json.NewEncoder(w).Encode(results)
}

func (u *graphUpstream) begin(batch []dialect.Piece) []dialect.Result {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.calls++
	results := make([]dialect.Result, len(batch))
	for i, p := range batch {
		if p.ID != graphRequest {
			results[i].Handle = fmt.Sprintf("other/%d/%d", u.calls, i)
			continue
		}
		u.check(p)
		if len(p.Inputs) > 0 && (u.isLost(p) || u.hasReleased(p.Inputs)) {
			results[i].Failure = dialect.FailureInputMissing
			continue
		}
		results[i].Handle = fmt.Sprintf("%d/%d/%d", p.Stage, p.Index, u.calls)
		u.made[results[i].Handle] = p
	}
	return results
}

func (u *graphUpstream) hasReleased(handles []string) bool {
	return slices.ContainsFunc(handles, func(h string) bool { return u.released[h] > 0 })
}

// check records a piece that doesn't get exactly its inputs.
func (u *graphUpstream) check(p dialect.Piece) {
	var want, got []string
	for _, stage := range u.after[p.Stage] {
		for i := range u.counts[stage] {
			want = append(want, fmt.Sprintf("%d/%d", stage, i))
		}
	}
	for _, h := range p.Inputs {
		maker := u.made[h]
		got = append(got, fmt.Sprintf("%d/%d", maker.Stage, maker.Index))
	}
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		u.wrong = append(u.wrong, fmt.Sprintf("piece %d of stage %d got inputs %v, want %v", p.Index, p.Stage, got, want))
	}
}

const graphRequest = "graph"

// runGraph sends one request with the stages of u while the first service is short of room, and
// returns the response.
func runGraph(t *testing.T, u *graphUpstream) (resp *responseHead, inputs string, err error) {
	withGateway(t, func(t *testing.T, f *fixture) {
		u.made, u.released = make(map[string]dialect.Piece), make(map[string]int)
		cfg := testConfiguration()
		cfg.Version = 2
		staged := &cfg.Routes[4]
		staged.Timeout, staged.Objective, staged.Stages = 120*time.Second, 60*time.Second, nil
		for i := range u.after {
			service := fmt.Sprint("stage-", i)
			capacity := int64(1 << 20)
			if i == 0 {
				capacity = 4000
			}
			cfg.Services = append(cfg.Services, catalog.Service{Name: service, Batch: &catalog.Batch{Slots: 1, Queue: 2, Size: 8, CallTime: u.delays[i], ResultCapacityBytes: capacity, ResultTTL: 4 * time.Second}})
			staged.Stages = append(staged.Stages, catalog.Stage{Service: service, After: u.after[i], ResultBytes: 1000})
		}
		f.cat.SetConfiguration(cfg, at(2))
		for i := range u.after {
			f.upstream(fmt.Sprint("stage-", i), u)
			f.upstream(fmt.Sprint("stage-", i), u)
		}
		engine := &countingUpstream{}
		f.upstream(engineService, engine)
		go func() {
			time.Sleep(10 * time.Millisecond)
			end := time.Now().Add(time.Hour)
			others := pieces.Job{Piece: dialect.Piece{ID: "other"}, Bytes: 1000, Due: end, GiveUp: end, Deadline: end}
			_, _ = f.stages.run(t.Context(), "stage-0", others, 40)
		}()
		counts := strings.Trim(fmt.Sprint(u.counts), "[]")
		resp, _, err = f.send(t.Context(), callerRequest{path: "/staged/x", id: graphRequest, remaining: 120 * time.Second, header: http.Header{testPieces: {counts}, testPieceKey: {"k"}}})
		if engine.count() > 0 {
			inputs = engine.requests[0].Header.Get(testInputs)
		}
		time.Sleep(2 * time.Minute)
	})
	return resp, inputs, err
}

// Guards against a piece that runs with a part of its inputs, and whose request ends with a
// sealed answer: a stage is rerun because its results were lost, and what it reads is released
// early, although another stage has yet to read it.
func TestRerunKeepsInputsThatOtherStagesNeed(t *testing.T) {
	lost := false
	u := &graphUpstream{
		after:  [][]int{{}, {0}, {1}, {}, {0, 3}},
		counts: []int{1, 1, 1, 1, 1},
		delays: []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 200 * time.Millisecond, 20 * time.Second, 200 * time.Millisecond},
		isLost: func(p dialect.Piece) bool {
			first := p.Stage == 2 && !lost
			lost = lost || first
			return first
		},
	}
	resp, _, err := runGraph(t, u)
	if err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got %+v, %v", resp, err)
	}
	for _, w := range u.wrong {
		t.Error(w)
	}
	if !lost {
		t.Error("no inputs were lost")
	}
}

// Guards against pieces with a part of their inputs, and against results that are never
// released, on routes of any shape whose stages lose their inputs.
func TestPiecesGetAllInputsOnAnyRoute(t *testing.T) {
	served, lost := 0, 0
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 33))
		u := randomGraph(rng)
		u.isLost = func(dialect.Piece) bool {
			isLost := rng.IntN(6) == 0
			if isLost {
				lost++
			}
			return isLost
		}
		resp, inputs, err := runGraph(t, u)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, w := range u.wrong {
			t.Errorf("seed %d, after %v: %s", seed, u.after, w)
		}
		for h := range u.made {
			if u.released[h] == 0 {
				t.Errorf("seed %d, after %v: %s was not released", seed, u.after, h)
			}
		}
		if resp.StatusCode == http.StatusOK {
			served++
			u.checkFinal(t, seed, strings.Split(inputs, ","))
		}
	}
	t.Logf("%d of 60 requests served, %d times inputs were lost", served, lost)
	if served < 30 || lost < 30 {
		t.Errorf("%d requests served, %d times inputs were lost; want 30 each at least", served, lost)
	}
}

func randomGraph(rng *rand.Rand) *graphUpstream {
	u := &graphUpstream{}
	for i := range 3 + rng.IntN(4) {
		after := []int{}
		for j := range i {
			if rng.IntN(2) == 0 {
				after = append(after, j)
			}
		}
		u.after = append(u.after, after)
		u.counts = append(u.counts, 1+rng.IntN(2))
		u.delays = append(u.delays, time.Duration(100+rng.IntN(900))*time.Millisecond)
	}
	return u
}

// checkFinal checks that the engine got all results of the stages that no other one follows.
func (u *graphUpstream) checkFinal(t *testing.T, seed uint64, handles []string) {
	t.Helper()
	var got, want []string
	for _, h := range handles {
		got = append(got, fmt.Sprintf("%d/%d", u.made[h].Stage, u.made[h].Index))
	}
	for stage := range u.after {
		if slices.ContainsFunc(u.after, func(after []int) bool { return slices.Contains(after, stage) }) {
			continue
		}
		for i := range u.counts[stage] {
			want = append(want, fmt.Sprintf("%d/%d", stage, i))
		}
	}
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("seed %d: the engine got %v, want %v", seed, got, want)
	}
}
