// Package rollout decides how a service's traffic moves to a new version of its upstreams, or
// back: how many sends the new version may get, whether it is bad, when the traffic moves, and
// which verdict is due.
//
// A Table has the roll-outs of one gateway. It does no input or output: its owner tells it of
// orders, of upstreams, of sends and their outcomes, and of the reports of other gateways, and
// writes the statuses that Tick returns. docs/design/rollouts.md has the reasons.
//
// # Usage
//
//	t := rollout.New(rollout.Bounds{Share: 0.1, Slack: 50}, "gateway-1", "incarnation")
//	t.SetOrder(now, order)
//	first, rest := t.Split(now, service, members)
//	send := t.Begin(now, member, route)
//	send.End(time.Now(), rollout.Outcome{Result: rollout.Good, FirstByte: d})
//	for _, write := range t.Tick(now, fleet) { ... }
//
// # Lock order
//
// Table.mu is taken last: placement and the queues of stages ask the table with their own locks
// held, and the table calls nothing back under its lock.
package rollout
