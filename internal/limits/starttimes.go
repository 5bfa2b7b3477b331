package limits

import "time"

// startTimes is a queue of the start times of the calls in flight. When any call ends,
// the oldest start time is removed, so that the ages of the remaining calls are never
// overestimated.
type startTimes struct {
	ring  []time.Duration
	first int
	n     int
}

func (s *startTimes) push(at time.Duration) {
	if s.n == len(s.ring) {
		grown := make([]time.Duration, max(8, 2*s.n))
		for i := range s.n {
			grown[i] = s.ring[(s.first+i)%s.n]
		}
		s.ring, s.first = grown, 0
	}
	s.ring[(s.first+s.n)%len(s.ring)] = at
	s.n++
}

func (s *startTimes) pop() {
	s.first = (s.first + 1) % len(s.ring)
	s.n--
}

// at returns the i-th oldest start time, and false if there are fewer calls.
func (s *startTimes) at(i int) (time.Duration, bool) {
	if i >= s.n {
		return 0, false
	}
	return s.ring[(s.first+i)%len(s.ring)], true
}
