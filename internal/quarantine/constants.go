package quarantine

import "time"

const (
	// minCrashes is the number of crashes that a set of parts must have in common.
	minCrashes = 3
	// ambiguousCrashes is the same while another part would explain all of these crashes too.
	ambiguousCrashes = 5
	// minCrashGap is the least time between two crashes that count separately: when a failure
	// domain loses power, all of its upstreams crash within milliseconds.
	minCrashGap = 150 * time.Millisecond
	// mergeWindow is the time within which gateways report the same crash of an upstream; a
	// restart takes longer.
	mergeWindow = time.Second
	// soundBefore is how long before a crash a whole response shows that a part of its prompt
	// did not cause the crash.
	soundBefore = 2 * time.Second
	// crashRetention is how long a crash is evidence.
	crashRetention = 2 * time.Minute
	// minConfinement is the duration of the first quarantine of a set. Each further one lasts
	// twice as long, up to maxConfinement.
	minConfinement = 2 * time.Minute
	maxConfinement = 32 * time.Minute
	// maxRound bounds the quarantines of one set, of which each takes minutes.
	maxRound = 1 << 20
	// probation is how long after a quarantine one crash renews it.
	probation = 10 * time.Minute
)

// Bounds of what is kept for each service.
const (
	maxServices = 64
	// maxCrashes bounds the crashes, maxPrompts the suspected prompts of one crash.
	maxCrashes = 32
	maxPrompts = 16
	// maxParts bounds the parts of one prompt, maxPartBytes the length of an id; a longer one is
	// kept as its hash.
	maxParts     = 32
	maxPartBytes = 64
	// maxEntries bounds the sets in quarantine or on probation.
	maxEntries = 64
	// maxSound bounds the sound parts in each of two generations.
	maxSound = 4096
)
