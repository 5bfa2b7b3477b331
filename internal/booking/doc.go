// Package booking ensures that a request that is not idempotent runs at most once.
//
// The right to run is consumed once rather than held under a lease. No lease has to be
// valid while the request runs, so pauses of any length are safe.
//
//   - Claims is used by entries for requests with a caller's key. A claim is a record
//     in the platform's object API; only the entry that wrote it may dispatch the
//     request, and only once. New claims and outcomes go to a few segments, where one
//     write combines the changes of many keys. Compactions move finished claims to many
//     partitions.
//   - Tickets is used by sidecars for requests with a ticket. One incarnation of a
//     sidecar runs a ticket at most once; it tracks this in memory, without the store.
//   - Attempts is a sidecar's in-memory table of attempt ids. It makes the outcome
//     notStarted final: an attempt that was resolved before it was seen never begins.
//
// # Usage
//
// An entry creates the ids of a request's attempts with the request's deadline before
// it claims the key, and dispatches only after a grant:
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
//	err = claims.Release(ctx, key) // only if the attempt definitely never started
//
// A sidecar calls Attempts.Begin, and Tickets.Begin for a ticket, before it contacts
// its upstream, and Finish with the outcome afterwards.
//
// # Assumptions
//
// Reads from the platform return all completed writes. The clocks of instances differ
// by less than AttemptClockMargin, and by less than ClaimClockMargin over the retention.
//
// # Lock order
//
// Each type has one mutex. No call to the store or to another of these types is made
// while it is held.
package booking
