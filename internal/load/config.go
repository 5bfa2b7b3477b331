package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Bounds and defaults of the generator.
const (
	// MaxResponseBytes is the largest answer that is read.
	MaxResponseBytes = 4 << 20
	// DefaultMaxInFlight bounds the requests in flight.
	DefaultMaxInFlight = 20_000
	// DefaultGrace is how long an answer is awaited after the deadline, so that a
	// late answer is told from a lost one.
	DefaultGrace = 2 * time.Second
	// DefaultDeadline is the deadline of a share that states none.
	DefaultDeadline = 3 * time.Second
	dialTimeout     = time.Second
)

// Phase is a time of one arrival rate.
type Phase struct {
	// Rate is the mean arrivals per second.
	Rate     float64       `json:"rate"`
	Duration time.Duration `json:"duration"`
}

// RequestClass is one kind of request in the mix.
type RequestClass struct {
	Pipeline string
	// Organisation names the caller in results.
	Organisation string
	// Key is the organisation's bearer key.
	Key      string
	Priority fleet.Priority
	// Weight is the share of the arrivals relative to the other shares; 0 is 1.
	Weight float64
	// Deadline is sent with each request; 0 is DefaultDeadline.
	Deadline  time.Duration
	MaxTokens int
	// Stream asks for the answer as events.
	Stream bool
	// Keyed sends a new UUID version 7 as the Idempotency-Key of each request.
	Keyed bool
	// Ticket fetches a ticket for each request and sends it as the key.
	Ticket bool
	// Idempotent requests may be sent again after an unknown outcome.
	Idempotent bool
	// Input returns the JSON input of the request with the id, which is unique
	// in the run; nil is DefaultInput.
	Input func(id string, rng *rand.Rand) json.RawMessage
	// Check returns an error when the answer is not the whole answer to the input;
	// nil accepts every JSON value.
	Check func(input json.RawMessage, answer Response) error
}

// Response is the whole answer to one request.
type Response struct {
	RequestID string
	Pipeline  string
	// Output is a JSON value.
	Output        json.RawMessage
	SkippedStages []string
	// Tokens is the number that a stream stated at its end.
	Tokens int
	// Streamed is set for an answer that came as events.
	Streamed bool
}

// Config describes one run.
type Config struct {
	// Targets are the base URLs of entries. Requests take turns among them.
	Targets []string
	Phases  []Phase
	Mix     []RequestClass
	Seed    uint64
	// Retries is how many further targets a caller tries for one request, within its deadline.
	Retries int
	// Grace is the time after the deadline for which an answer is awaited.
	Grace time.Duration
	// MaxInFlight bounds the requests in flight; arrivals beyond it are counted as not sent.
	MaxInFlight int
	// HTTP is the client; nil makes one.
	HTTP *http.Client
	// OnResult is called with each result, from several goroutines; it may be nil.
	OnResult func(Result)
}

func (c Config) withDefaults() Config {
	if c.Grace == 0 {
		c.Grace = DefaultGrace
	}
	if c.MaxInFlight == 0 {
		c.MaxInFlight = DefaultMaxInFlight
	}
	if c.HTTP == nil {
		c.HTTP = newHTTPClient(c.MaxInFlight)
	}
	if c.OnResult == nil {
		c.OnResult = func(Result) {}
	}
	mix := make([]RequestClass, len(c.Mix))
	for i, s := range c.Mix {
		mix[i] = s.withDefaults()
	}
	c.Mix = mix
	return c
}

func (s RequestClass) withDefaults() RequestClass {
	if s.Weight == 0 {
		s.Weight = 1
	}
	if s.Deadline == 0 {
		s.Deadline = DefaultDeadline
	}
	if s.Input == nil {
		s.Input = DefaultInput
	}
	if s.Check == nil {
		s.Check = func(json.RawMessage, Response) error { return nil }
	}
	return s
}

// check returns every fault of the configuration in one error.
func (c Config) check() error {
	var faults []string
	if len(c.Targets) == 0 {
		faults = append(faults, "no target")
	}
	if len(c.Phases) == 0 {
		faults = append(faults, "no phase")
	}
	for i, p := range c.Phases {
		if p.Rate < 0 || p.Duration <= 0 {
			faults = append(faults, fmt.Sprintf("phase %d: the rate must be at least 0 and the duration above 0", i))
		}
	}
	if len(c.Mix) == 0 {
		faults = append(faults, "no share in the mix")
	}
	for i, s := range c.Mix {
		if s.Pipeline == "" || s.Weight < 0 {
			faults = append(faults, fmt.Sprintf("share %d: the pipeline is missing or the weight is below 0", i))
		}
		if s.Keyed && s.Ticket {
			faults = append(faults, fmt.Sprintf("share %d: keyed and ticket exclude each other", i))
		}
	}
	if len(faults) > 0 {
		return errors.Errorf("invalid load: %v", faults)
	}
	return nil
}

// DefaultInput returns an object with the id and some words.
func DefaultInput(id string, rng *rand.Rand) json.RawMessage {
	return fmt.Appendf(nil, `{"id":%q,"text":"report %d of lamp %d"}`, id, rng.IntN(1000), rng.IntN(1000))
}
