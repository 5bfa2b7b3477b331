// Package booking lets a request that must not be repeated run at most once.
//
// The right to run is consumed, not held: no lease has to be valid while the
// request runs, so that pauses of any length do no harm.
//
//   - Claims is the entry's side of requests with a caller's key. A claim is a
//     record in the object API; the entry whose record is there may dispatch once.
//     New claims and outcomes go to a few segments, whose writes hold the changes of
//     many keys. Compactions move finished claims to many partitions.
//   - Tickets is the sidecar's side of requests with a ticket. One incarnation of a
//     sidecar runs a ticket at most once, from its memory, without the store.
//   - Attempts is the sidecar's memory of attempt ids. It makes the answer
//     notStarted final: an attempt that was resolved unseen never begins.
//
// # Usage
//
// An entry creates the ids of a request's attempts with the request's deadline
// before it claims the key, and dispatches only after a grant:
//
//	attempt := booking.NewAttemptID(deadline, rng)
//	claim, err := claims.Claim(ctx, booking.Key{Organisation: "okafor", Value: key})
//	switch {
//	case booking.IsKeyExpired(err): // unknown
//	case err != nil: // notStarted; nothing will run
//	case claim.State == booking.Held && claim.Outcome != nil: // recorded
//	case claim.State == booking.Held: // ask claim.Owner, else unknown
//	}
//	// Granted: dispatch, then one of
//	err = claims.Record(ctx, key, outcome)
//	err = claims.Release(ctx, key) // only if the attempt certainly never started
//
// A sidecar calls Attempts.Begin, and Tickets.Begin for a ticket, before it
// contacts its upstream, and Finish with the outcome afterwards.
//
// # Assumptions
//
// The platform's reads see every finished write. Clocks of instances differ by less
// than AttemptClockMargin, and by less than ClaimClockMargin over the retention.
//
// # Lock order
//
// Each type has one mutex, which is held across no call.
package booking
