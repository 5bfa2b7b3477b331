// Package ratelimit splits a rate that an upstream takes from all gateways together, without an
// exchange between them for each request.
//
// Turns divides time into slots of one request each, which belong to the gateways in turn. Limit
// keeps what an upstream stated of its own limit, as read from its responses or heard from another
// gateway, and decides with Turns when a request may be sent. Neither does input or output; the
// owner serialises all calls.
//
// # Usage
//
//	var l ratelimit.Limit
//	l.Observe(ratelimit.Answer{Read: now, Sent: sent, PerSecond: 1.5, IsStated: true})
//	if until, ok := l.Next(now, id, share); !ok { ... } // the next turn begins at until
//	r := l.Reserve(now, id, share) // when a request is placed
//	if !l.Admit(time.Now(), id, share, &r) { ... } // when it is written
package ratelimit
