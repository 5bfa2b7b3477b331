package admission

import "bergamotrudder.example/bergamotrudder/pkg/fleet"

// Snapshot is the state of a queue for the status and dump commands.
type Snapshot struct {
	// Queued, InFlight and Limit are numbers of requests. Limit is 0 when the slots
	// belong to another owner (QueueConfig.Take).
	Queued   int `json:"queued"`
	InFlight int `json:"inFlight"`
	Limit    int `json:"limit,omitempty"`
	// QueuedByPriority starts with the lowest priority.
	QueuedByPriority [fleet.PriorityCount]int `json:"queuedByPriority"`
	// Organisations is the number of organisations with state in the queue, summed over
	// the priorities.
	Organisations int  `json:"organisations"`
	Closed        bool `json:"closed"`
}

// Queued returns the number of waiting requests.
func (q *Queue) Queued() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.queued
}

// InFlight returns the number of granted slots that have not been released.
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
