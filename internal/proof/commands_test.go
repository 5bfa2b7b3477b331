package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
)

// cmdStart starts an entry or another program of the fleet again after it has exited.
func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	p := processesOf(ts)
	proc := p.get(args[0])
	if proc == nil {
		ts.Fatalf("no process %s", args[0])
	}
	<-proc.done
	ts.Check(p.start(args[0], proc.args...))
}

var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

// cmdSignal sends a signal: signal KILL entry-1. With wait as the third argument it
// waits until the process has exited.
func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	proc := processesOf(ts).get(args[1])
	ts.Check(proc.cmd.Process.Signal(signals[args[0]]))
	if len(args) == 3 {
		select {
		case <-proc.done:
		case <-time.After(convergenceTimeout):
			ts.Fatalf("%s did not exit", args[1])
		}
	}
}

// cmdFault sets the faults of a proxy, an upstream or the store: fault NAME JSON.
func cmdFault(ts *testscript.TestScript, _ bool, args []string) {
	_, err := send(http.MethodPut, processesOf(ts).url(args[0])+"/admin/faults", json.RawMessage(args[1]), nil)
	ts.Check(err)
}

// response is the response that a caller received, or the error of its request.
type response struct {
	status int
	body   string
	err    error
}

func (r response) String() string { return fmt.Sprintf("%d %s %v", r.status, r.body, r.err) }

func (r response) execution() string {
	var problem struct{ Execution string }
	if r.err != nil || json.Unmarshal([]byte(r.body), &problem) != nil {
		return "unknown"
	}
	return problem.Execution
}

func do(r *http.Request) (int, []byte, error) {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// post sends a caller's request to a pipeline, or a request for a ticket if the input is
// empty.
func post(entry, pipeline, input string, header map[string]string) response {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	path := entry + "/v1/pipelines/" + pipeline + "/requests"
	body := `{"input": ` + input + `}`
	if input == "" {
		path, body = entry+"/v1/pipelines/"+pipeline+"/tickets", ""
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, path, strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	status, raw, err := do(r)
	return response{status: status, body: string(raw), err: err}
}

// cmdRequest sends a request and prints the response:
//
//	request ENTRY PIPELINE INPUT [Header=value ...]
//
// The input "ticket" requests a ticket and stores it in $TICKET.
func cmdRequest(ts *testscript.TestScript, _ bool, args []string) {
	p := processesOf(ts)
	header := make(map[string]string)
	for _, a := range args[3:] {
		k, v, _ := strings.Cut(a, "=")
		header[k] = v
	}
	input := args[2]
	if input == "ticket" {
		input = ""
	}
	resp := post(p.url(args[0]), args[1], input, header)
	var ticket struct{ Ticket string }
	if input == "" && json.Unmarshal([]byte(resp.body), &ticket) == nil {
		ts.Setenv("TICKET", ticket.Ticket)
	}
	_, _ = fmt.Fprintf(ts.Stdout(), "%s\n", resp)
}

// cmdFlood sends COUNT requests with different inputs, CONCURRENCY at a time, and prints
// how many had each outcome:
//
//	flood ENTRY PIPELINE COUNT CONCURRENCY [keyed | keyed-as NAME] [during SIGNAL PROCESS]
//
// With "keyed" each request has its own idempotency key; with "keyed-as NAME" the requests
// use the keys of a flood at the entry NAME. With "during SIGNAL PROCESS" the process gets
// the signal after half of the requests.
func cmdFlood(ts *testscript.TestScript, _ bool, args []string) {
	p := processesOf(ts)
	count, err := strconv.Atoi(args[2])
	ts.Check(err)
	concurrency, err := strconv.Atoi(args[3])
	ts.Check(err)
	keys := ""
	if slices.Contains(args, "keyed") {
		keys = args[0]
	}
	if i := slices.Index(args, "keyed-as"); i > 0 {
		keys = args[i+1]
	}
	at := slices.Index(args, "during")
	var mu sync.Mutex
	outcomes := make(map[string]int)
	var failures []string
	slots := make(chan struct{}, concurrency)
	var wg sync.WaitGroup
	for i := range count {
		if at >= 0 && i == count/2 {
			ts.Check(p.get(args[at+2]).cmd.Process.Signal(signals[args[at+1]]))
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			input := fmt.Sprintf(`{"flood": "%s", "keys": "%s", "n": %d}`, args[1], keys, i)
			header := map[string]string{}
			if keys != "" {
				key := fmt.Sprintf("flood-%s-%d", keys, i)
				header["Idempotency-Key"] = key
				header["Idempotency-Attempt"] = strconv.Itoa(p.maybeStarted(key) + 1)
			}
			resp := post(p.url(args[0]), args[1], input, header)
			outcome := classify(args[1], input, resp)
			if keys != "" {
				p.recordKeyed(header["Idempotency-Key"], input, outcome)
			}
			mu.Lock()
			defer mu.Unlock()
			outcomes[outcome]++
			if outcome != "completed" && len(failures) < maxFailures {
				failures = append(failures, resp.String())
			}
		})
	}
	wg.Wait()
	_, _ = fmt.Fprintf(ts.Stdout(), "completed=%d notStarted=%d unknown=%d wrong=%d\n",
		outcomes["completed"], outcomes["notStarted"], outcomes["unknown"], outcomes["wrong"])
	for _, f := range failures {
		ts.Logf("not completed: %s", f)
	}
}

// maxFailures is the largest number of failed requests of a flood that are logged.
const maxFailures = 5

// classify returns the outcome of a request. A response is wrong if its output differs from
// what the stand-ins compute from the input; responses of guidance are not compared.
func classify(pipeline, input string, resp response) string {
	if resp.status != http.StatusOK {
		return resp.execution()
	}
	if pipeline == "guidance" {
		return "completed"
	}
	kind := map[string]string{"status": "lookup", "booking": "book"}[pipeline]
	var got struct {
		Pipeline string
		Output   upstream.ServiceResponse
	}
	want := upstream.ServiceOutput(kind, []byte(input), 0)
	if err := json.Unmarshal([]byte(resp.body), &got); err != nil || got.Pipeline != pipeline || got.Output != want {
		return "wrong"
	}
	return "completed"
}

// cmdExecutions checks the total number of executions at the upstreams:
//
//	executions N NAME...
//
// "N+" allows more, and the command executionsAtMost allows fewer.
func cmdExecutions(ts *testscript.TestScript, _ bool, args []string) {
	total := executionsAt(ts, args[1:])
	least, more := strings.CutSuffix(args[0], "+")
	want, err := strconv.Atoi(least)
	ts.Check(err)
	if total != want && (!more || total < want) {
		ts.Fatalf("%d executions at %v, want %s", total, args[1:], args[0])
	}
}

func cmdExecutionsAtMost(ts *testscript.TestScript, _ bool, args []string) {
	most, err := strconv.Atoi(args[0])
	ts.Check(err)
	if total := executionsAt(ts, args[1:]); total > most {
		ts.Fatalf("%d executions at %v, at most %d are allowed", total, args[1:], most)
	}
}

func executionsAt(ts *testscript.TestScript, names []string) int {
	total := 0
	for _, name := range names {
		raw, err := send(http.MethodGet, processesOf(ts).url(name)+"/admin/records", nil, nil)
		ts.Check(err)
		var records []upstream.Record
		ts.Check(json.Unmarshal(raw, &records))
		for _, r := range records {
			if r.State != upstream.RecordAborted {
				total++
			}
		}
	}
	return total
}

// cmdClear deletes the upstreams' records of executions.
func cmdClear(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		_, err := send(http.MethodDelete, processesOf(ts).url(name)+"/admin/records", nil, nil)
		ts.Check(err)
	}
}

// cmdOrder sends a model order to a sidecar and prints whether it was rejected because of
// its fencing token: order SIDECAR MODEL FENCING.
func cmdOrder(ts *testscript.TestScript, _ bool, args []string) {
	fencing, err := strconv.ParseUint(args[2], 10, 64)
	ts.Check(err)
	client := peer.NewClient(sharedSecret, nil)
	defer client.Close("")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var reply peer.EngineOrderReply
	ts.Check(client.Call(ctx, processesOf(ts).address(args[0]), peer.MethodEngineOrder, &peer.EngineOrder{Model: args[1], Fencing: fencing}, &reply))
	_, _ = fmt.Fprintf(ts.Stdout(), "stale=%v highest=%d\n", reply.Stale, reply.Highest)
}

// cmdOrders prints the orders that an engine received.
func cmdOrders(ts *testscript.TestScript, _ bool, args []string) {
	raw, err := send(http.MethodGet, processesOf(ts).url(args[0])+"/admin/orders", nil, nil)
	ts.Check(err)
	_, _ = fmt.Fprintf(ts.Stdout(), "%s\n", raw)
}

// cmdCold makes a warm upstream cold without notice to its clients.
func cmdCold(ts *testscript.TestScript, _ bool, args []string) {
	_, err := send(http.MethodPost, processesOf(ts).url(args[0])+"/admin/cold", nil, nil)
	ts.Check(err)
}

// cmdState prints the state of an upstream.
func cmdState(ts *testscript.TestScript, _ bool, args []string) {
	raw, err := send(http.MethodGet, processesOf(ts).url(args[0])+"/admin/state", nil, nil)
	ts.Check(err)
	_, _ = fmt.Fprintf(ts.Stdout(), "%s\n", raw)
}

// cmdServing waits until an entry serves lookups.
func cmdServing(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(processesOf(ts).awaitServing(args[0], "status"))
}
