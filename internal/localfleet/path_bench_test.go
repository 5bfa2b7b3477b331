package localfleet

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// echoUpstream responds immediately, so that only the path is measured.
func echoUpstream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	body, err := io.ReadAll(r.Body)
	if err == nil {
		_, _ = w.Write(body)
	}
}

const benchCapacity = 256

// startEcho starts one entry with stages that respond immediately, and returns the
// URL of a pipeline through all of them and the URL of an upstream.
func startEcho(b *testing.B, stages int) (string, string) {
	b.Helper()
	return startPipeline(b, stages, fleet.Stage{Protocol: fleet.ProtocolJSON, Path: "/"}, echoUpstream)
}

// startPipeline starts one entry and stages copied from the template, each with one
// upstream whose cold capacity is its capacity.
func startPipeline(b *testing.B, stages int, template fleet.Stage, upstream http.HandlerFunc) (string, string) {
	b.Helper()
	ctx := context.Background()
	f, err := New(ctx, Config{Secret: "a shared secret of the fleet", OperatorKey: "an operators' key of the fleet", LogLevel: "error"})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.Close)
	sum := sha256.Sum256([]byte(callerKey))
	doc := fleet.Document{
		FailureDomains: []fleet.FailureDomain{{Name: "fd-a"}},
		Organisations:  []fleet.Organisation{{Name: "okafor", KeySHA256: hex.EncodeToString(sum[:]), Weight: 1}},
		Rules:          []fleet.Rule{{Organisation: "okafor", Pipeline: fleet.AnyPipeline, DefaultPriority: fleet.PriorityBatch}},
	}
	pipeline := fleet.Pipeline{Name: "echo", DeadlineMs: 10_000}
	direct := ""
	for i := range stages {
		name := fmt.Sprintf("stage-%d", i)
		template.Name, template.Idempotent, template.Capacity, template.ColdCapacity = name, true, benchCapacity, benchCapacity
		doc.Stages = append(doc.Stages, template)
		pipeline.Steps = append(pipeline.Steps, fleet.Step{Stage: name})
	}
	doc.Pipelines = []fleet.Pipeline{pipeline}
	if _, err := f.Platform().Commit(ctx, doc); err != nil {
		b.Fatal(err)
	}
	for _, s := range doc.Stages {
		server := httptest.NewServer(upstream)
		b.Cleanup(server.Close)
		direct = server.URL
		spec := SidecarSpec{Name: "sidecar-" + s.Name, Upstream: s.Name, Stage: s.Name, FailureDomain: "fd-a", UpstreamURL: server.URL}
		p, err := f.StartSidecar(ctx, spec)
		if err != nil {
			b.Fatal(err)
		}
		if err := f.Platform().PutInstance(ctx, SidecarRecord(spec, p)); err != nil {
			b.Fatal(err)
		}
	}
	spec := EntrySpec{Name: "entry-1", FailureDomain: "fd-a"}
	p, err := f.StartEntry(ctx, spec)
	if err != nil {
		b.Fatal(err)
	}
	url := "http://" + p.CallerAddress() + "/v1/pipelines/echo/requests"
	client := &http.Client{}
	for range 400 {
		if err = callOnce(client, url); err == nil {
			return url, direct
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.Fatalf("the fleet does not serve: %v", err)
	return "", ""
}

var benchBody = []byte(`{"input": {"pump": "P-7", "history": "` + string(bytes.Repeat([]byte("x"), 1000)) + `"}}`)

func callOnce(client *http.Client, url string) error {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, bytes.NewReader(benchBody))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	response, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, response)
	}
	return err
}

// measureCalls calls the URL from concurrent callers and reports the median and the 99th
// percentile of the time and the throughput.
func measureCalls(b *testing.B, url string, callers int) {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	var mu sync.Mutex
	var times []time.Duration
	b.ReportAllocs()
	b.ResetTimer()
	work := make(chan struct{}, callers)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range work {
				started := time.Now()
				if err := callOnce(client, url); err != nil {
					b.Error(err)
				}
				took := time.Since(started)
				mu.Lock()
				times = append(times, took)
				mu.Unlock()
			}
		})
	}
	for range b.N {
		work <- struct{}{}
	}
	close(work)
	wg.Wait()
	b.StopTimer()
	slices.Sort(times)
	b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), "p99-us")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkPath compares a call through entry and sidecars with a direct call of the
// upstream. Callers, system and upstreams share the processors.
func BenchmarkPath(b *testing.B) {
	for _, callers := range []int{1, 4, 32} {
		b.Run(fmt.Sprintf("direct/callers=%d", callers), func(b *testing.B) {
			_, direct := startEcho(b, 1)
			measureCalls(b, direct, callers)
		})
		for _, stages := range []int{1, 2, 4} {
			b.Run(fmt.Sprintf("stages=%d/callers=%d", stages, callers), func(b *testing.B) {
				url, _ := startEcho(b, stages)
				measureCalls(b, url, callers)
			})
		}
	}
}
