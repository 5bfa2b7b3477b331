package faultproxy

import "time"

// Faults are the faults of the network. The zero value is a network without faults.
type Faults struct {
	// Ratio is the share of connections, from 0 to 1, that the faults hit; 0 is all.
	Ratio float64 `json:"ratio,omitempty"`
	// DelayMs and JitterMs delay each direction by DelayMs to DelayMs+JitterMs milliseconds.
	DelayMs  float64 `json:"delayMs,omitempty"`
	JitterMs float64 `json:"jitterMs,omitempty"`
	// Refuse resets new connections.
	Refuse bool `json:"refuse,omitempty"`
	// HoldRequests delivers nothing to the target.
	HoldRequests bool `json:"holdRequests,omitempty"`
	// HoldReplies delivers nothing to the client.
	HoldReplies bool `json:"holdReplies,omitempty"`
	// BlackHole delivers nothing in either direction.
	BlackHole bool `json:"blackHole,omitempty"`
	// DropReplies cuts a connection when the first byte of a reply comes, so the
	// request took effect and its reply is lost.
	DropReplies bool `json:"dropReplies,omitempty"`
	// HalfCloseClient ends the stream to the client in place of a reply and keeps
	// the other direction open.
	HalfCloseClient bool `json:"halfCloseClient,omitempty"`
	// HalfCloseTarget ends the stream to the target after the first bytes of a
	// request and keeps the other direction open.
	HalfCloseTarget bool `json:"halfCloseTarget,omitempty"`
	// TruncateReplies cuts a connection after this many bytes of replies since the
	// fault was set; 0 is no truncation.
	TruncateReplies int64 `json:"truncateReplies,omitempty"`
	// TruncateRequests does so with requests.
	TruncateRequests int64 `json:"truncateRequests,omitempty"`
	// Reset makes cuts show as a reset instead of the end of the stream.
	Reset bool `json:"reset,omitempty"`
}

// direction is one of the two byte streams of a connection.
type direction int

const (
	toTarget direction = iota
	toClient
)

func (f Faults) holds(d direction) bool {
	return f.BlackHole || (d == toTarget && f.HoldRequests) || (d == toClient && f.HoldReplies)
}

func (f Faults) truncation(d direction) int64 {
	if d == toTarget {
		return f.TruncateRequests
	}
	return f.TruncateReplies
}

// hits reports whether the faults apply to a connection that drew the number from [0, 1).
func (f Faults) hits(draw float64) bool { return f.Ratio <= 0 || draw < f.Ratio }

// delay returns the delay of a chunk that drew the number from [0, 1).
func (f Faults) delay(draw float64) time.Duration {
	return time.Duration((f.DelayMs + f.JitterMs*draw) * float64(time.Millisecond))
}
