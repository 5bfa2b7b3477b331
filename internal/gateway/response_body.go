package gateway

import "bergamotrudder.example/bergamotrudder/internal/forward"

// bodyEnd is how the body of an upstream's response ended, in logs and metrics.
type bodyEnd string

const (
	// bodyComplete bodies ended as their framing says.
	bodyComplete bodyEnd = "complete"
	// bodyInsideEvent streams ended as their framing says, but inside an event, and
	// bodyWithoutEvents streams with their connection before the first one.
	bodyInsideEvent   bodyEnd = "insideEvent"
	bodyWithoutEvents bodyEnd = "withoutEvents"
	// bodyUnread bodies were not read to their end: the connection broke, the time was over or
	// the caller disconnected.
	bodyUnread bodyEnd = "unread"
)

// responseBody describes the body of an upstream's response.
type responseBody struct {
	framing forward.Framing
	end     bodyEnd
	// events is the number of complete events of a stream.
	events int
}

// bodyLabels are the metric labels of a body.
type bodyLabels struct {
	service string
	framing forward.Framing
	end     bodyEnd
}

// recordBody records how the body of the response ended.
func (q *request) recordBody(resp *forward.Response) {
	q.response = responseBody{framing: resp.Framing, end: bodyUnread, events: resp.Events()}
	switch {
	case resp.IsComplete():
		q.response.end = bodyComplete
	case resp.HasFramingEnded() && resp.IsInsideEvent():
		q.response.end = bodyInsideEvent
	case resp.HasFramingEnded():
		q.response.end = bodyWithoutEvents
	}
	q.g.bodies.Inc(bodyLabels{service: q.service.Name, framing: q.response.framing, end: q.response.end})
}
