package cli

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/tailscale/hujson"

	"bergamotrudder.example/bergamotrudder/internal/load"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// maxMixBytes is the maximum size of a mix file.
const maxMixBytes = 1 << 20

// mixShare is one kind of request in a mix file, which is a list of them in JSON with
// comments.
type mixShare struct {
	Pipeline     string         `json:"pipeline"`
	Organisation string         `json:"organisation"`
	Priority     fleet.Priority `json:"priority"`
	// Weight is the rate of arrivals relative to the other kinds; 0 means 1.
	Weight float64 `json:"weight"`
	// DeadlineMs is in milliseconds; 0 means 3 s.
	DeadlineMs int64 `json:"deadlineMs"`
	MaxTokens  int   `json:"maxTokens"`
	Stream     bool  `json:"stream"`
	Keyed      bool  `json:"keyed"`
	Ticket     bool  `json:"ticket"`
	Idempotent bool  `json:"idempotent"`
	// KeyFile is the file with the organisation's key; if empty, the key is read from
	// BERGAMOTRUDDER_CLIENT_CALLER_KEY.
	KeyFile string `json:"keyFile"`
}

// readMix reads a mix file.
func readMix(path string) ([]load.RequestClass, error) {
	raw, err := readInput(nil, path, maxMixBytes)
	if err != nil {
		return nil, err
	}
	standard, err := hujson.Standardize(raw)
	if err != nil {
		return nil, usageErrorf("%s: %v", path, err)
	}
	d := json.NewDecoder(bytes.NewReader(standard))
	d.DisallowUnknownFields()
	var mix []mixShare
	if err := d.Decode(&mix); err != nil {
		return nil, usageErrorf("%s: %v", path, err)
	}
	if len(mix) == 0 {
		return nil, usageErrorf("%s: the mix is empty", path)
	}
	shares := make([]load.RequestClass, 0, len(mix))
	for _, m := range mix {
		share, err := m.share()
		if err != nil {
			return nil, err
		}
		shares = append(shares, share)
	}
	return shares, nil
}

func (m mixShare) share() (load.RequestClass, error) {
	key, err := readKey(m.KeyFile, callerKeyVariable)
	return load.RequestClass{
		Pipeline:     m.Pipeline,
		Organisation: m.Organisation,
		Key:          key,
		Priority:     m.Priority,
		Weight:       m.Weight,
		Deadline:     time.Duration(m.DeadlineMs) * time.Millisecond,
		MaxTokens:    m.MaxTokens,
		Stream:       m.Stream,
		Keyed:        m.Keyed,
		Ticket:       m.Ticket,
		Idempotent:   m.Idempotent,
	}, err
}
