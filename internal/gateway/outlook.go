package gateway

import (
	"fmt"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/pieces"
)

// outlook returns the outlook of the upstreams of the request's service.
func (q *request) outlook() availability.Outlook {
	return q.g.judge.Outlook(time.Now(), q.g.catalog.View().Upstreams(q.service.Name))
}

// checkStageOutlook refuses a request with stages before they run, if its service or that of a
// stage takes no requests, because each upstream leaves, wants quiet or has got what it takes by its
// limit beyond the time at which the request can be there.
func (q *request) checkStageOutlook() *errorResponse {
	if len(q.route.Stages) == 0 || len(q.attrs.Pieces) < len(q.route.Stages) {
		return nil
	}
	stagesTime := q.expectedStagesTime(pieces.Estimate.UnloadedTime)
	if now := time.Now(); q.g.judge.IsHeldBack(now, q.g.catalog.View().Upstreams(q.service.Name)) {
		if outlook := q.outlook(); isClosedFor(outlook.IsHeldBack(), outlook.ClosedFor(now), stagesTime) {
			return q.heldBackResponse(outlook)
		}
	}
	for i, s := range q.route.Stages {
		if q.attrs.Pieces[i] <= 0 {
			continue
		}
		lead := stagesTime
		if len(s.After) == 0 {
			lead = 0
		}
		if e := q.g.stages.estimate(s.Service); isClosedFor(e.Closed, e.ClosedFor, lead) {
			return closedStageResponse(s.Service, e)
		}
	}
	return nil
}

// isClosedFor reports whether a closed service is still closed after the lead time.
func isClosedFor(isClosed bool, closedFor, lead time.Duration) bool {
	return isClosed && (closedFor == 0 || closedFor > lead)
}

// noUpstreamResponse returns the response to a request for which placement found no upstream.
func (q *request) noUpstreamResponse() *errorResponse {
	if outlook := q.outlook(); outlook.IsHeldBack() && !q.mayHaveRun {
		return q.heldBackResponse(outlook)
	}
	return q.errorResponse(reasonNoUpstream, "no upstream can take the request now")
}

// heldBackResponse is closedResponse for the service of the request, which counts refusals by limits.
func (q *request) heldBackResponse(outlook availability.Outlook) *errorResponse {
	if outlook.Limited > 0 {
		q.g.limited.Inc(q.service.Name)
	}
	return closedResponse(q.service.Name, outlook)
}

// closedResponse returns the response to a request of a service whose upstreams leave, want
// quiet, return from a quiet time or have got what they take by their limits.
func closedResponse(service string, o availability.Outlook) *errorResponse {
	if o.Leaving == o.Upstreams {
		return notExecutedFor(reasonUpstreamsLeave, fmt.Sprintf("all %d upstreams of %s leave", o.Upstreams, service), 0)
	}
	if o.Limited > 0 {
		detail := fmt.Sprintf("of %d upstreams of %s, %d have got what they take by their limits, %d asked for quiet, %d return from that and %d leave; the first takes a request at %s",
			o.Upstreams, service, o.Limited, o.Quiet, o.Returning, o.Leaving, o.Earliest.UTC().Format(time.RFC3339Nano))
		return notExecutedFor(reasonUpstreamsLimit, detail, min(o.ClosedFor(time.Now()), maxRetryAfter))
	}
	detail := fmt.Sprintf("of %d upstreams of %s, %d asked for quiet, %d return from that and %d leave; the first is back at %s",
		o.Upstreams, service, o.Quiet, o.Returning, o.Leaving, o.Earliest.UTC().Format(time.RFC3339Nano))
	return notExecutedFor(reasonUpstreamsQuiet, detail, o.ClosedFor(time.Now()))
}

// closedStageResponse returns the response to a request with a stage whose upstreams leave or
// want quiet.
func closedStageResponse(service string, e pieces.Estimate) *errorResponse {
	if e.ClosedFor == 0 {
		return notExecutedFor(reasonUpstreamsLeave, fmt.Sprintf("all upstreams of the stage's service %s leave", service), 0)
	}
	detail := fmt.Sprintf("all upstreams of the stage's service %s asked for quiet or leave; the first is back in %v", service, e.ClosedFor)
	return notExecutedFor(reasonUpstreamsQuiet, detail, e.ClosedFor)
}
