package configuration

import (
	"context"
	"slices"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Current returns the configuration in force, or nil if there is none yet.
func (h *Holder) Current() *fleet.Configuration { return h.state.Load().cfg }

// Generation returns the generation in force, or 0 if there is none yet.
func (h *Holder) Generation() uint64 { return h.state.Load().head.Generation }

// Head returns the head in force; its Generation is 0 if there is none yet.
func (h *Holder) Head() Head { return h.state.Load().head }

// Sections returns the sections of the configuration in force that have one of the hashes.
func (h *Holder) Sections(hashes []string) []*Section {
	held := h.state.Load().sections
	var found []*Section
	for _, hash := range hashes {
		if s, ok := held[hash]; ok {
			found = append(found, s)
		}
	}
	return found
}

// Missing returns the hashes of the head's sections that are not held, without duplicates.
func (h *Holder) Missing(head Head) []string {
	held := h.state.Load().sections
	var missing []string
	for _, r := range head.Sections {
		if _, ok := held[r.Hash]; !ok {
			missing = append(missing, r.Hash)
		}
	}
	slices.Sort(missing)
	return slices.Compact(missing)
}

// WaitForGeneration waits until a generation of at least the given one is in force and
// returns its configuration, or the error of ctx.
func (h *Holder) WaitForGeneration(ctx context.Context, generation uint64) (*fleet.Configuration, error) {
	for {
		s := h.state.Load()
		if s.cfg != nil && s.head.Generation >= generation {
			return s.cfg, nil
		}
		select {
		case <-s.replaced:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
