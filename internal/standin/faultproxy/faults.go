package faultproxy

import "time"

// Faults are the network faults to inject. The zero value is a network without faults.
type Faults struct {
	// Ratio is the fraction of connections, from 0 to 1, that the faults affect; 0 is all.
	Ratio float64 `json:"ratio,omitempty"`
	// DelayMs and JitterMs delay each direction by DelayMs to DelayMs+JitterMs milliseconds.
	DelayMs  float64 `json:"delayMs,omitempty"`
	JitterMs float64 `json:"jitterMs,omitempty"`
	// Refuse resets new connections.
	Refuse bool `json:"refuse,omitempty"`
	// HoldRequests blocks delivery to the target.
	HoldRequests bool `json:"holdRequests,omitempty"`
	// HoldReplies blocks delivery to the client.
	HoldReplies bool `json:"holdReplies,omitempty"`
	// BlackHole blocks delivery in both directions.
	BlackHole bool `json:"blackHole,omitempty"`
	// DropReplies cuts a connection when the first byte of a reply arrives, so the
	// request took effect and its reply is lost.
	DropReplies bool `json:"dropReplies,omitempty"`
	// HalfCloseClient ends the stream to the client instead of delivering a reply and keeps
	// the other direction open.
	HalfCloseClient bool `json:"halfCloseClient,omitempty"`
	// HalfCloseTarget ends the stream to the target after the first bytes of a
	// request and keeps the other direction open.
	HalfCloseTarget bool `json:"halfCloseTarget,omitempty"`
	// TruncateReplies cuts a connection after this number of bytes of replies since the
	// fault was set; 0 is no truncation.
	TruncateReplies int64 `json:"truncateReplies,omitempty"`
	// TruncateRequests cuts a connection after this number of bytes of requests since
	// the fault was set; 0 is no truncation.
	TruncateRequests int64 `json:"truncateRequests,omitempty"`
	// Reset makes cuts appear to the client as a TCP reset instead of the end of the
	// stream; the connection to the target is closed as without Reset.
	Reset bool `json:"reset,omitempty"`
}

// direction is one of the two byte streams of a connection.
type direction int

const (
	toTarget direction = iota
	toClient
)

func (f Faults) blocks(d direction) bool {
	return f.BlackHole || (d == toTarget && f.HoldRequests) || (d == toClient && f.HoldReplies)
}

func (f Faults) truncation(d direction) int64 {
	if d == toTarget {
		return f.TruncateRequests
	}
	return f.TruncateReplies
}

// affects reports whether the faults apply to a connection with a random number from [0, 1).
func (f Faults) affects(draw float64) bool { return f.Ratio <= 0 || draw < f.Ratio }

// delay returns the delay of a chunk with a random number from [0, 1).
func (f Faults) delay(draw float64) time.Duration {
	return time.Duration((f.DelayMs + f.JitterMs*draw) * float64(time.Millisecond))
}
