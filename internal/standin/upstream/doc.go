// Package upstream is a stand-in for the back ends of the system: a model engine
// and a plain service. Both are http.Handlers that take real time for their work,
// collapse when the calls in flight exceed their capacity, and record every execution,
// so that a test can count lost, duplicated and misdelivered work independently of the
// system under test.
//
// # Usage
//
//	e := upstream.NewEngine(upstream.EngineConfig{Load: upstream.LoadConfig{Capacity: 8}})
//	server := httptest.NewServer(e)
//	e.SetFaults(upstream.Faults{SlowFactor: 10})
//	for _, r := range e.Records() {
//		// r.Attempt, r.Input, r.State
//	}
//
// # Responses
//
// Every response is a function of the input alone, so a caller can compute the
// complete response that it must get: ChatOutput, EmbeddingOutput and ServiceOutput.
//
// # Capacity
//
// A stand-in sustains Capacity calls in flight when warm and ColdCapacity when cold.
// It starts cold, and becomes warm after it had calls in flight for WarmUp in
// total. While cold, its work takes ColdSlowdown times as long. It collapses when
// the calls in flight exceed its effective capacity for longer than Tolerance: all
// calls fail for CollapseTime, and it is cold again after that. After a cold
// transition without notice to its clients, excess calls count only from the end of
// ColdGrace.
//
// # Admin paths
//
// GET /admin/state, GET and DELETE /admin/records, GET and PUT /admin/faults,
// POST /admin/cold, POST /admin/warm and POST /admin/restart.
//
// # Lock order
//
// capacity.mu is acquired before recorder.mu.
package upstream
