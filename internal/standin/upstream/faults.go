package upstream

import "time"

// Faults are the failures that a stand-in injects. The zero value is a healthy stand-in.
type Faults struct {
	// SlowFactor multiplies the time of all work; 0 is 1.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// FailRatio is the fraction of calls, from 0 to 1, that fail immediately without running.
	FailRatio float64 `json:"failRatio,omitempty"`
	// FailStatus is the status of those calls; 0 is 500.
	FailStatus int `json:"failStatus,omitempty"`
	// FailStated adds a header to the responses of those calls that states that they did not run.
	FailStated bool `json:"failStated,omitempty"`
	// Hang accepts calls and never responds to them.
	Hang bool `json:"hang,omitempty"`
	// CutStreams truncates every stream after half of its tokens.
	CutStreams bool `json:"cutStreams,omitempty"`
	// CutReplies truncates every response after half of its bytes. The work took effect.
	CutReplies bool `json:"cutReplies,omitempty"`
	// DropReplies closes the connection instead of responding. The work took effect.
	DropReplies bool `json:"dropReplies,omitempty"`
	// LoadLagMs is the age of the load reports, in milliseconds.
	LoadLagMs int64 `json:"loadLagMs,omitempty"`
	// CacheGap drops every second cache event.
	CacheGap bool `json:"cacheGap,omitempty"`
	// CacheLagMs is the delay of cache events, in milliseconds.
	CacheLagMs int64 `json:"cacheLagMs,omitempty"`
}

func (f Faults) slowFactor() float64 {
	if f.SlowFactor <= 0 {
		return 1
	}
	return f.SlowFactor
}

func (f Faults) loadLag() time.Duration { return time.Duration(f.LoadLagMs) * time.Millisecond }
