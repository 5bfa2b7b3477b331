// Package routing chooses the upstream that runs a stage.
//
// A Table holds the candidates of each stage, the last load report of each sidecar
// and the calls of this process in flight. It uses a bounded subset of the
// candidates, selected by rendezvous hashing and spread over the failure domains,
// and picks the upstream with the lowest load relative to its reported limit.
//
// # Usage
//
//	t := routing.New(routing.Config{Instance: "entry-7", FailureDomain: "fd-a", Seed: 1}, logger, scope)
//	t.Update("rerank", candidates)
//	choice, err := t.Pick(routing.PickRequest{Stage: "rerank", Timeout: 2 * time.Second})
//	if err != nil {
//		// No candidate is in service.
//	}
//	err = call(choice.Address())
//	choice.Done(routing.Result{Outcome: routing.Succeeded, Duration: d, Load: &reply.Load})
//
// # Lock order
//
// Table.mu is acquired before stage.mu.
package routing
