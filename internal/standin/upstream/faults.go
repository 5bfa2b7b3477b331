package upstream

import "time"

// Faults are the failures that a stand-in shows. The zero value is a healthy stand-in.
type Faults struct {
	// SlowFactor multiplies the time of all work; 0 is 1.
	SlowFactor float64 `json:"slowFactor,omitempty"`
	// FailRatio is the share of calls, from 0 to 1, that fail at once without running.
	FailRatio float64 `json:"failRatio,omitempty"`
	// FailStatus is the status of those calls; 0 is 500.
	FailStatus int `json:"failStatus,omitempty"`
	// FailStated makes those calls say that they did not run.
	FailStated bool `json:"failStated,omitempty"`
	// Hang accepts calls and never answers them.
	Hang bool `json:"hang,omitempty"`
	// CutStreams cuts every stream after half of its tokens.
	CutStreams bool `json:"cutStreams,omitempty"`
	// CutReplies cuts every reply after half of its bytes. The work took effect.
	CutReplies bool `json:"cutReplies,omitempty"`
	// DropReplies closes the connection in place of a reply. The work took effect.
	DropReplies bool `json:"dropReplies,omitempty"`
	// LoadLagMs is the age of the load reports, in milliseconds.
	LoadLagMs int64 `json:"loadLagMs,omitempty"`
	// CacheGap drops every second cache event.
	CacheGap bool `json:"cacheGap,omitempty"`
	// CacheLagMs is how late cache events come, in milliseconds.
	CacheLagMs int64 `json:"cacheLagMs,omitempty"`
}

func (f Faults) slow() float64 {
	if f.SlowFactor <= 0 {
		return 1
	}
	return f.SlowFactor
}

func (f Faults) loadLag() time.Duration { return time.Duration(f.LoadLagMs) * time.Millisecond }
