package gateway

import "time"

// ownerGrace is how long a gateway must have owned a queue to count as lost by the timeout of
// owners. Before, it was polled round-robin, so that its last reply may be older than that
// timeout; meanwhile it gets heartbeats in two periods.
const ownerGrace = heartbeatPeriod + heartbeatPeriod/2

// ownerTimes holds since when gateways have owned a queue, by name.
type ownerTimes map[string]time.Time

// update records the owners at the time, and returns those that have owned a queue for
// ownerGrace.
func (o ownerTimes) update(owners map[string]bool, now time.Time) map[string]bool {
	for name := range o {
		if !owners[name] {
			delete(o, name)
		}
	}
	settled := make(map[string]bool, len(owners))
	for name := range owners {
		if _, ok := o[name]; !ok {
			o[name] = now
		}
		if now.Sub(o[name]) >= ownerGrace {
			settled[name] = true
		}
	}
	return settled
}
