package admission

import "bergamotrudder.example/bergamotrudder/pkg/fleet"

// Snapshot is the state of a queue for status and dump.
type Snapshot struct {
	// Queued, InFlight and Limit count requests; Limit is 0 with an owner of the slots.
	Queued   int `json:"queued"`
	InFlight int `json:"inFlight"`
	Limit    int `json:"limit,omitempty"`
	// QueuedByPriority has the lowest priority first.
	QueuedByPriority [fleet.PriorityCount]int `json:"queuedByPriority"`
	// Organisations counts organisations that the queue remembers.
	Organisations int  `json:"organisations"`
	Closed        bool `json:"closed"`
}

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queued
}

// InFlight returns the number of granted slots that were not given back.
func (q *Queue) InFlight() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.inFlight
}

// Snapshot returns the state of the queue.
func (q *Queue) Snapshot() Snapshot {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := Snapshot{Queued: q.queued, InFlight: q.inFlight, Limit: q.limit, Closed: q.closed}
	for i := range q.levels {
		s.QueuedByPriority[i] = q.levels[i].queued
		s.Organisations += len(q.levels[i].organisations)
	}
	return s
}
