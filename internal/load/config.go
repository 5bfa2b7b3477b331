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

// Limits and defaults of the generator.
const (
	// MaxResponseBytes is the size limit of a response body.
	MaxResponseBytes = 4 << 20
	// DefaultMaxInFlight bounds the number of requests in flight.
	DefaultMaxInFlight = 20_000
	// DefaultGrace is how long to wait for a response after the deadline, so that a
	// late response is distinguished from a lost one.
	DefaultGrace = 2 * time.Second
	// DefaultDeadline is the deadline of a request class that sets none.
	DefaultDeadline = 3 * time.Second
	dialTimeout     = time.Second
)

// Phase is a period with a constant arrival rate.
type Phase struct {
	// Rate is the mean number of arrivals per second.
	Rate     float64       `json:"rate"`
	Duration time.Duration `json:"duration"`
}

// RequestClass is a class of similar requests in the mix.
type RequestClass struct {
	Pipeline string
	// Organisation is the name of the caller in results.
	Organisation string
	// Key is the bearer key of the organisation.
	Key      string
	Priority fleet.Priority
	// Weight is the frequency of the class relative to the other classes; 0 is 1.
	Weight float64
	// Deadline is sent with each request; 0 is DefaultDeadline.
	Deadline  time.Duration
	MaxTokens int
	// Stream requests the response as server-sent events.
	Stream bool
	// Keyed sends a new UUID version 7 as the Idempotency-Key of each request.
	Keyed bool
	// Ticket fetches a ticket for each request and sends it as the key.
	Ticket bool
	// Idempotent allows retries after an unknown outcome.
	Idempotent bool
	// Input returns the JSON input of the request with the id, which is unique
	// in the run; nil is DefaultInput.
	Input func(id string, rng *rand.Rand) json.RawMessage
	// Check returns an error when the response is not the complete response to the input;
	// nil accepts every JSON value.
	Check func(input json.RawMessage, response Response) error
}

// Response is the complete response to one request.
type Response struct {
	RequestID string
	Pipeline  string
	// Output is a JSON value.
	Output        json.RawMessage
	SkippedStages []string
	// Tokens is the number of tokens from the done event of a stream.
	Tokens int
	// Streamed is set for a response that was received as server-sent events.
	Streamed bool
}

// Config describes one run.
type Config struct {
	// Targets are the base URLs of entries, used round-robin.
	Targets []string
	Phases  []Phase
	Mix     []RequestClass
	Seed    uint64
	// Retries is the maximum number of further attempts of a request, each at the next target, within its deadline.
	Retries int
	// Grace is how long to wait for a response after the deadline.
	Grace time.Duration
	// MaxInFlight bounds the number of requests in flight; arrivals beyond it are counted as unsent.
	MaxInFlight int
	// HTTP is the client; nil creates one.
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
	for i, class := range c.Mix {
		mix[i] = class.withDefaults()
	}
	c.Mix = mix
	return c
}

func (c RequestClass) withDefaults() RequestClass {
	if c.Weight == 0 {
		c.Weight = 1
	}
	if c.Deadline == 0 {
		c.Deadline = DefaultDeadline
	}
	if c.Input == nil {
		c.Input = DefaultInput
	}
	if c.Check == nil {
		c.Check = func(json.RawMessage, Response) error { return nil }
	}
	return c
}

// validate returns every fault of the configuration in one error.
func (c Config) validate() error {
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
		faults = append(faults, "no request class in the mix")
	}
	for i, class := range c.Mix {
		if class.Pipeline == "" || class.Weight < 0 {
			faults = append(faults, fmt.Sprintf("request class %d: the pipeline is missing or the weight is below 0", i))
		}
		if class.Keyed && class.Ticket {
			faults = append(faults, fmt.Sprintf("request class %d: keyed and ticket exclude each other", i))
		}
	}
	if len(faults) > 0 {
		return errors.Errorf("invalid load: %v", faults)
	}
	return nil
}

// DefaultInput returns a JSON object with the id and a short random text.
func DefaultInput(id string, rng *rand.Rand) json.RawMessage {
	return fmt.Appendf(nil, `{"id":%q,"text":"report %d of lamp %d"}`, id, rng.IntN(1000), rng.IntN(1000))
}
