// Package quarantine finds the parts of prompts that crash upstreams, and keeps requests with
// them away from upstreams.
//
// A Table is pure state without input and output. It collects crashes, each with the prompts on
// which the upstream may have crashed: those of requests of which hardly anything had been
// answered. A part of a prompt is sound as of each whole response to a prompt that has it. What
// the suspected prompts of several crashes have in common, and is not sound, is a Suspect: a set
// of parts that each of these prompts has. A set rather than one part, because two parts that
// only come together can't be told apart; a prompt that has some of them passes, and its outcome
// narrows the set. Once the other gateways know of no whole response either, the set is put in
// quarantine, and prompts with all of its parts are refused.
//
// A quarantine ends by itself. A crash after its end renews it for twice as long, so that a part
// that still crashes upstreams costs one crash for each such time.
//
// Crashes that have another cause don't lead to a quarantine: what their requests have in common
// is in whole responses at the same time, and several crashes at one moment count as one.
//
// All that is kept is bounded in number and in time.
//
// # Usage
//
//	t := quarantine.New()
//	changes := t.RecordSuccess(now, "model", prompt)
//	changes = t.RecordCrash(now, quarantine.Crash{Service: "model", Upstream: id, At: now, Prompts: prompts})
//	for _, s := range t.Suspects(now) {
//		changes = t.Confine(now, s) // after the other gateways were asked
//	}
//	if refusal, ok := t.Refuse(now, "model", prompt); ok { ... }
package quarantine
