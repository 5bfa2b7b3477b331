package rollout

// Stage is how far a roll-out is. Gateways tell each other of the latest one, and the later one
// holds, so that they agree without asking.
type Stage int

// Stages. Bad is the last one: no gateway returns from it.
const (
	stageTrial Stage = iota
	stageQuarter
	stageHalf
	stageFull
	stageBad
)

var stageNames = [...]string{"trial", "quarter", "half", "full", "bad"}

// String returns the name of the stage in logs.
func (s Stage) String() string {
	if s < stageTrial || s > stageBad {
		return "invalid"
	}
	return stageNames[s]
}

// share returns the part of all sends that the new version gets.
func (s Stage) share(b Bounds) float64 {
	switch s {
	case stageTrial:
		return trialFraction * b.Share
	case stageFull:
		return 1
	case stageBad:
		return 0
	}
	return stepShares[s]
}
