package routing

import "fmt"

// NoUpstreamError means that no candidate of a stage can take a new call.
type NoUpstreamError struct {
	Stage string
	// Candidates is the number of known candidates.
	Candidates int
	// Excluded is the number of usable candidates that the request excluded.
	Excluded int
}

// Error returns the stage and the counts.
func (e *NoUpstreamError) Error() string {
	return fmt.Sprintf("no upstream of stage %q can take work: %d candidates, %d excluded", e.Stage, e.Candidates, e.Excluded)
}
