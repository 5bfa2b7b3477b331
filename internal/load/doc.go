// Package load is an open-loop load generator for the callers' interface of an
// entry. Requests are sent at seeded Poisson times whatever became of the earlier
// ones, and latency counts from the time that a request was meant to be sent, so
// a slow system can't slow down its own measurement.
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
// and the body {"input", "maxTokens"}. The answer is {"requestId", "pipeline",
// "output", "skippedStages"}, or, with Accept: text/event-stream, token events and
// a done or an error event. Failures are RFC 9457 problem documents with the member
// execution. POST /v1/pipelines/{pipeline}/tickets gives {"ticket", "expiresInSeconds"}.
//
// # Outcomes
//
// A request whose answer came whole and passed the check of its share is
// completed. One that certainly did not run is notStarted, every other failure is
// unknown, and an answer that is not the one to the request is wrongAnswer.
package load
