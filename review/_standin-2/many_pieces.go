package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	stagePath     = "/report/"
	stageService  = "sms-relay"
	stageBatch    = 96
	stageCall     = 200 * time.Millisecond
	stagePiece    = 1800 * time.Microsecond
	piecesCrowd   = 400
	piecesPerRequ = 1024
)

var nextHandle atomic.Uint64

// runStage answers a call of the stage protocol.
func (s *server) runStage(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Items []json.RawMessage `json:"items"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.calls.Add(1) > 3 {
		s.calls.Add(-1)
		w.Header().Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.calls.Add(-1)
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.d.rec.add("call of %d pieces at %s", len(body.Items), s.id)
	time.Sleep(stageCall + time.Duration(len(body.Items))*stagePiece)
	items := make([]map[string]string, len(body.Items))
	for i := range items {
		items[i] = map[string]string{"handle": fmt.Sprintf("%s/%x", s.address, nextHandle.Add(1))}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items})
}

// manyPieces lets callers state many pieces for one stage.
func manyPieces(d *deployment, trouble bool) (bool, string, error) {
	d.configure()
	for i := range 18 {
		if err := d.startServer(i, engineService, 64); err != nil {
			return false, "", err
		}
	}
	for i := range 8 {
		if err := d.startServer(100+i, stageService, 1); err != nil {
			return false, "", err
		}
	}
	for i := range 4 {
		if err := d.addGateway(i); err != nil {
			return false, "", err
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	go d.probe(stop)
	if !d.waitReady(15 * time.Second) {
		return false, "", errSetup
	}
	pieces := 12
	if trouble {
		pieces = piecesPerRequ
	}
	var sent, served, refused atomic.Int64
	ends, most, began := make([]int, len(d.gateways)), make([]int64, len(d.gateways)), time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		for time.Since(began) < 60*time.Second {
			var wg sync.WaitGroup
			for _, g := range d.gateways {
				for range piecesCrowd {
					wg.Add(1)
					go func() {
						defer wg.Done()
						id := fmt.Sprintf("p%015x", sent.Add(1))
						d.rec.add("send %s to %s: %d pieces", id, g.name, pieces)
						client := &http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
						r, _ := http.NewRequest(http.MethodPost, "http://"+g.front+stagePath+"2f", nil)
						r.Host = host
						r.Header.Set(headerID, id)
						r.Header.Set(headerRemaining, "6000")
						r.Header.Set("Authorization", "Token "+apiKey)
						r.Header.Set("X-Bergamotrudder-Pieces", fmt.Sprint(pieces))
						r.Header.Set("X-Bergamotrudder-Piece-Key", id)
						r.Header.Set("X-Bergamotrudder-Model", "m")
						r.Header.Set("X-Bergamotrudder-Token-Counts", "715,9")
						r.Header.Set("X-Bergamotrudder-Prompt-Prefix", "c1:172,"+id+":543")
						resp, err := client.Do(r)
						status := 0
						if err == nil {
							status = resp.StatusCode
							_ = resp.Body.Close()
						}
						d.rec.add("answer %s %d %v", id, status, err)
						switch status {
						case http.StatusOK:
							served.Add(1)
						case http.StatusServiceUnavailable:
							refused.Add(1)
						}
					}()
				}
			}
			wg.Wait()
			time.Sleep(500 * time.Millisecond)
		}
	}()
	for running := true; running && enough(ends) < machinesWithEnds; {
		select {
		case <-done:
			running = false
		case <-time.After(20 * time.Millisecond):
		}
		if err := d.endOversized(ends, most); err != nil {
			return false, "", err
		}
	}
	seen := fmt.Sprintf("processes ended for memory over %d MB: %v times in %.0f s; %d requests sent, %d served, %d refused; most memory %v MB", memoryBytes/1_000_000, ends, time.Since(began).Seconds(), sent.Load(), served.Load(), refused.Load(), megabytes(most))
	return enough(ends) >= machinesWithEnds, seen, nil
}
