package availability

import (
	"fmt"
	"time"
)

// Reason says why an upstream may not be sent to.
type Reason string

// Reasons, in the order in which they are judged.
const (
	// Open upstreams may be sent to.
	Open Reason = ""
	// Unregistered upstreams have no registration any more.
	Unregistered Reason = "unregistered"
	// Draining upstreams registered as such.
	Draining Reason = "draining"
	// OutOfService upstreams are in a failure domain that is out of service.
	OutOfService Reason = "outOfService"
	// OtherVersion upstreams are of a version that gets nothing by a roll-out.
	OtherVersion Reason = "otherVersion"
	// Leaving upstreams said in a response that they leave.
	Leaving Reason = "leaving"
	// Quiet upstreams asked in a response to get nothing for some time.
	Quiet Reason = "quiet"
	// BackOff upstreams failed, or have no free capacity at the moment.
	BackOff Reason = "backOff"
	// Probing upstreams get one request after a back-off, until it ends.
	Probing Reason = "probing"
	// Returning upstreams got as many requests as they may so soon after a quiet time.
	Returning Reason = "returning"
	// Limited upstreams take so many requests a second from all gateways together, and it is the
	// turn of another one.
	Limited Reason = "limited"
)

// Verdict is the judgement on an upstream at one moment.
type Verdict struct {
	Reason Reason
	// Until is when the verdict ends by itself; zero if that isn't known.
	Until time.Time
}

// IsOpen reports whether the upstream may be sent to.
func (v Verdict) IsOpen() bool { return v.Reason == Open }

// IsIndefinite reports whether the upstream may not be sent to for a time that isn't known.
func (v Verdict) IsIndefinite() bool { return !v.IsOpen() && v.Until.IsZero() }

// WorksNow reports whether the upstream works on requests: it may be sent to, or will be once
// the few that it may get at a time have ended.
func (v Verdict) WorksNow() bool {
	return v.Reason == Open || v.Reason == Probing || v.Reason == Returning || v.Reason == Limited
}

// ClosedError is returned for a request that must not be written to its upstream.
type ClosedError struct {
	ID      string
	Verdict Verdict
}

// Error returns a text with the upstream and the reason.
func (e *ClosedError) Error() string {
	return fmt.Sprintf("upstream %s may not be sent to: %s", e.ID, e.Verdict.Reason)
}
