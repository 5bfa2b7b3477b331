// Package load is an open-loop load generator for the callers' interface of an
// entry. Arrivals are a seeded Poisson process that is independent of the outcome of
// earlier requests, and latency counts from the scheduled send time, so a slow system
// can't distort its own measurement (coordinated omission).
//
// # Usage
//
//	g, err := load.New(load.Config{
//		Targets: []string{"http://127.0.0.1:8080"},
//		Phases:  []load.Phase{{Rate: 200, Duration: 10 * time.Second}},
//		Mix:     []load.RequestClass{{Pipeline: "diagnosis", Key: key, Deadline: time.Second}},
//		Seed:    1,
//	})
//	report := g.Run(ctx)
//	err = report.WriteText(os.Stdout)
//
// # Protocol
//
// A request is POST /v1/pipelines/{pipeline}/requests with the headers
// Authorization, Priority, Deadline-Ms and, for keyed requests, Idempotency-Key and Idempotency-Attempt,
// and the body {"input", "maxTokens"}. The response is {"requestId", "pipeline",
// "output", "skippedStages"}, or, with Accept: text/event-stream, token events and
// a done or an error event. Failures are RFC 9457 problem documents with the member
// execution. POST /v1/pipelines/{pipeline}/tickets returns {"ticket", "expiresInSeconds"}.
//
// # Outcomes
//
// A request with a complete response that passed the check of its class is
// completed. One that certainly did not run is notStarted, one that ran and whose
// response is no longer stored is completedNoAnswer, every other failure is unknown,
// and a response that is wrong or incomplete is wrongAnswer.
package load
