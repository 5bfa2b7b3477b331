package proof

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Limits of the processes that crowds press.
const (
	crowdMemoryMB    = 96
	crowdDescriptors = 400
	// spareDescriptors must stay free for other processes and the store.
	spareDescriptors = 40
	// crowdPatience bounds the time that one member of a crowd sends, and ordinaryPatience that in
	// which one of the ordinary requests that are sent in turn must be answered.
	crowdPatience    = 6 * time.Second
	ordinaryPatience = 12 * time.Second
)

// crowdForm is what n clients of a listener send.
type crowdForm struct {
	name string
	n    int
	play func(address string) (leave func())
}

// onConnections sends the text on n connections, which stay open.
func onConnections(n int, text string) crowdForm {
	return crowdForm{n: n, play: func(address string) func() {
		c, err := net.DialTimeout("tcp", address, time.Second) //nolint:noctx // a test
		if err != nil {
			return func() {}
		}
		_ = c.SetWriteDeadline(time.Now().Add(crowdPatience))
		_, _ = io.WriteString(c, text)
		return func() { _ = c.Close() }
	}}
}

// stalledBody gives its bytes and then waits until the crowd leaves.
type stalledBody struct {
	left  int
	ended <-chan struct{}
	sent  *sync.WaitGroup
}

func (b *stalledBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		b.sent.Done()
		b.left--
	}
	if b.left < 0 {
		<-b.ended
		return 0, io.ErrUnexpectedEOF
	}
	n := min(len(p), b.left)
	b.left -= n
	return n, nil
}

// onStreams sends, on n connections of HTTP/2, so many requests with the fields and so many bytes of a
// body that stops short of its end.
func onStreams(n, streams, fields, bodyBytes int) crowdForm {
	return crowdForm{n: n, play: func(address string) func() {
		ctx, cancel := context.WithCancel(context.Background())
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		client := &http.Client{Transport: &http.Transport{Protocols: protocols}}
		var sent sync.WaitGroup
		for range streams {
			sent.Add(1)
			body := &stalledBody{left: bodyBytes, ended: ctx.Done(), sent: &sent}
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/pipelines/status/requests", body)
			if err != nil {
				panic(err)
			}
			r.Header.Set("Authorization", "Bearer "+callerKey)
			for i := range fields {
				r.Header.Set(fmt.Sprintf("x%03d", i), "1")
			}
			go func() {
				if resp, err := client.Do(r); err == nil {
					_ = resp.Body.Close()
				}
			}()
		}
		done := make(chan struct{})
		go func() { sent.Wait(); close(done) }()
		select {
		case <-done:
		case <-time.After(crowdPatience):
		}
		return func() { cancel(); client.CloseIdleConnections() }
	}}
}

func (f crowdForm) named(name string) crowdForm { f.name = name; return f }

// smallFields returns so many fields of 5 bytes.
func smallFields(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := range n {
		b.Write([]byte{letters[i/676%26], letters[i/26%26], letters[i%26], ':', '\n'})
	}
	return b.String()
}

// Guards against crowds at the listeners of entries and sidecars, which end the process, take all its
// descriptors or keep ordinary callers out.
func TestCrowdsAtEntriesAndSidecars(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	if _, err := os.Stat("/proc/self/status"); err != nil {
		t.Skip("the system has no /proc")
	}
	partialHead := "POST /v1/pipelines/status/requests HTTP/1.1\r\nHost: x\r\n" + smallFields(3000)
	idle := onConnections(crowdDescriptors+50, "").named("idle")
	partial := onConnections(350, partialHead).named("partial heads")
	preface := "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"
	for _, target := range []struct {
		process, listener string
		forms             []crowdForm
	}{
		{"entry-1", "entry-1", []crowdForm{
			idle, partial, onConnections(crowdDescriptors+50, preface).named("idle HTTP/2"),
			onStreams(30, 100, 0, 40_000).named("streams with bodies"),
			onStreams(30, 100, 400, 1).named("streams with many fields"),
		}},
		{"entry-1", "entry-1.peers", []crowdForm{idle, partial}},
		{"entry-1", "entry-1.operators", []crowdForm{idle, partial}},
		{"sidecar-lookup-1", "sidecar-lookup-1", []crowdForm{idle, partial}},
	} {
		for _, form := range target.forms {
			t.Run(strings.ReplaceAll(target.listener+"/"+form.name, " ", "-"), func(t *testing.T) {
				p := &processes{dir: t.TempDir(), byName: make(map[string]*process), addresses: make(map[string]string)}
				defer p.end()
				if err := p.startCrowdedFleet(); err != nil {
					t.Fatal(err)
				}
				var wg sync.WaitGroup
				leaves := make([]func(), form.n)
				for i := range leaves {
					wg.Go(func() { leaves[i] = form.play(p.address(target.listener)) })
				}
				wg.Wait()
				defer func() {
					for _, leave := range leaves {
						leave()
					}
				}()
				p.checkCrowded(t, target.process)
			})
		}
	}
}

// startCrowdedFleet starts a store, an upstream with its sidecar, and an entry, the last two with low
// limits.
func (p *processes) startCrowdedFleet() error {
	const upstream, sidecar = "lookup-1", "sidecar-lookup-1"
	for _, start := range []func() error{
		func() error { return p.startProxied("store", "store", "-listen", p.address("store")) },
		func() error { return p.await(p.url("store") + "/admin/counters") },
		func() error {
			return p.start(upstream, upstreamCommand(upstream, "service", "lookup", p.address(upstream), nil)...)
		},
		func() error {
			return p.startLimited(crowdDescriptors, sidecar, "bergamotrudder", "sidecar",
				"--set=name="+sidecar, "--set=failureDomain=fd-a", "--set=secretEnv=PROOF_SECRET", "--set=peerListen="+p.address(sidecar),
				"--set=upstream.name="+upstream, "--set=upstream.stage=lookup", "--set=upstream.address="+p.address(upstream), "--set=drain.delaySeconds=0")
		},
		func() error {
			return p.list(fleet.InstanceRecord{Name: sidecar, Role: fleet.RoleSidecar, FailureDomain: "fd-a", Address: p.address(sidecar), Stage: "lookup", Upstream: upstream, Phase: fleet.PhaseLive})
		},
		func() error {
			return p.startLimited(crowdDescriptors, "entry-1", append(p.entryCommand("entry-1"), fmt.Sprintf("--set=memory.limitMB=%d", crowdMemoryMB))...)
		},
		func() error {
			return p.list(fleet.InstanceRecord{Name: "entry-1", Role: fleet.RoleEntry, FailureDomain: "fd-a", Address: p.address("entry-1.peers"), Phase: fleet.PhaseLive})
		},
		func() error { return p.await(p.url("entry-1") + "/healthz") },
		p.configure,
		func() error { return p.awaitServing("entry-1", "status") },
	} {
		if err := start(); err != nil {
			return err
		}
	}
	return nil
}

// checkCrowded checks the process while the crowd is connected.
func (p *processes) checkCrowded(t *testing.T, name string) {
	t.Helper()
	pid := p.get(name).cmd.Process.Pid
	// A small heap goes on growing by kilobytes.
	for last, end := 0, time.Now().Add(crowdPatience); last != peakMemory(pid) && time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		last = peakMemory(pid)
	}
	var resp response
	for end := time.Now().Add(ordinaryPatience); time.Now().Before(end); time.Sleep(pollPeriod) {
		if resp = p.postOnce("entry-1"); resp.status == http.StatusOK {
			break
		}
	}
	if resp.status != http.StatusOK {
		t.Errorf("no ordinary request is answered: %s", resp)
	}
	select {
	case <-p.get(name).done:
		t.Fatalf("%s has ended", name)
	default:
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		t.Fatal(err)
	}
	memory := peakMemory(pid) >> 10
	t.Logf("at most %d MB, %d descriptors", memory, len(files))
	if memory > crowdMemoryMB {
		t.Errorf("%s used %d MB, its limit is %d", name, memory, crowdMemoryMB)
	}
	if len(files) > crowdDescriptors-spareDescriptors {
		t.Errorf("%s has %d open descriptors, want at most %d", name, len(files), crowdDescriptors-spareDescriptors)
	}
}

var ordinaryClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

var ordinaryRequests atomic.Int64

// postOnce sends an ordinary request on a connection of its own.
func (p *processes) postOnce(entry string) response {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	body := fmt.Sprintf(`{"input": "unit %d"}`, ordinaryRequests.Add(1))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url(entry)+"/v1/pipelines/status/requests", strings.NewReader(body))
	if err != nil {
		return response{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := ordinaryClient.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, body: string(b), err: err}
}

// peakMemory returns the largest resident memory of the process, in KB.
func peakMemory(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, peak, _ := strings.Cut(string(b), "VmHWM:")
	var kilobytes int
	_, _ = fmt.Sscan(peak, &kilobytes)
	return kilobytes
}
