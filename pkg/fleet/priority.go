package fleet

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Priority is the priority of a request; a higher value is served first and shed last.
type Priority int

// Priorities from the lowest to the highest.
const (
	PriorityBatch Priority = iota
	PriorityNormal
	PriorityHigh
	PriorityCritical
)

// PriorityCount is the number of priorities.
const PriorityCount = 4

var priorityNames = [PriorityCount]string{"batch", "normal", "high", "critical"}

// String returns the priority's name, as used in documents and headers.
func (p Priority) String() string {
	if p < 0 || int(p) >= PriorityCount {
		return "invalid"
	}
	return priorityNames[p]
}

// ParsePriority returns the priority with the name. An unknown name is an error.
func ParsePriority(s string) (Priority, error) {
	for i, name := range priorityNames {
		if name == s {
			return Priority(i), nil
		}
	}
	return 0, errors.Errorf("priority %q is not one of batch, normal, high, critical", s)
}

// MarshalJSON encodes the priority as its name.
func (p Priority) MarshalJSON() ([]byte, error) {
	return json.Marshal(p.String())
}

// UnmarshalJSON decodes the priority from its name.
func (p *Priority) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Wrap(err, "priority")
	}
	v, err := ParsePriority(s)
	if err != nil {
		return err
	}
	*p = v
	return nil
}
