package configuration

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Holder keeps the configuration that is in force in this process. It is safe for
// concurrent use.
type Holder struct {
	logger *log.Logger
	scope  tally.Scope

	// mu serialises Apply and the calls of subscribers.
	mu          sync.Mutex
	subscribers []func(*fleet.Configuration)
	state       atomic.Pointer[state]
}

// state is one generation and the objects that it was built from. It is immutable.
type state struct {
	cfg      *fleet.Configuration
	head     Head
	hash     uint64
	sections map[string]*Section
	// previousSections contains the sections of previousGeneration that this generation
	// replaced, by name.
	previousSections   map[string]*Section
	previousGeneration uint64
	// replaced is closed when a higher generation replaces this one.
	replaced chan struct{}
}

// NewHolder returns a holder without a configuration.
func NewHolder(logger *log.Logger, scope tally.Scope) *Holder {
	h := &Holder{logger: logger, scope: scope}
	h.state.Store(&state{replaced: make(chan struct{})})
	return h
}

// Subscribe registers fn, which is called with each configuration that comes into force,
// in the order of generations, and at once with the current one if there is one. fn
// must not block and must not call Apply or Subscribe.
func (h *Holder) Subscribe(fn func(*fleet.Configuration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers = append(h.subscribers, fn)
	if cfg := h.state.Load().cfg; cfg != nil {
		fn(cfg)
	}
}

// Apply puts the head's configuration into force if its generation is higher than
// the current one, and reports whether it did. Sections of the current configuration
// need not be supplied again. The error is a *MissingSectionsError if a section is
// neither supplied nor held, or a *FormatError, *SizeError or *fleet.InvalidError if
// the configuration can't be used.
func (h *Holder) Apply(head Head, sections []*Section) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.state.Load()
	if head.Generation <= current.head.Generation {
		return false, h.checkFork(current, head)
	}
	next, err := buildState(current, head, sections)
	if err != nil {
		h.scope.Counter("configurationRefused").Inc(1)
		h.logger.Warn().Uint64("generation", head.Generation).Err(err).Msg("configuration rejected")
		return false, err
	}
	h.state.Store(next)
	close(current.replaced)
	h.scope.Gauge("configurationGeneration").Update(float64(head.Generation))
	h.logger.Info().Uint64("generation", head.Generation).Msg("configuration in force")
	for _, fn := range h.subscribers {
		fn(next.cfg)
	}
	return true, nil
}

// checkFork returns an error if head differs from the current head of the same
// generation. The conditional update of the head rules this out unless the store is
// inconsistent.
func (h *Holder) checkFork(current *state, head Head) error {
	if head.Generation != current.head.Generation || head.Generation == 0 || head.Hash() == current.hash {
		return nil
	}
	h.scope.Counter("configurationForked").Inc(1)
	h.logger.Error().Uint64("generation", head.Generation).Msg("two configurations have the same generation")
	return &FormatError{Name: headLabel, Reason: fmt.Sprintf("it differs from the head of generation %d in force", head.Generation)}
}

func buildState(current *state, head Head, supplied []*Section) (*state, error) {
	if err := head.Check(); err != nil {
		return nil, err
	}
	sections, err := collectSections(head, current.sections, supplied)
	if err != nil {
		return nil, err
	}
	doc, err := assemble(head, sections)
	if err != nil {
		return nil, err
	}
	cfg, err := fleet.New(head.Generation, doc)
	if err != nil {
		return nil, err
	}
	return &state{
		cfg:                cfg,
		head:               head,
		hash:               head.Hash(),
		sections:           sections,
		previousSections:   replacedSections(current, head),
		previousGeneration: current.head.Generation,
		replaced:           make(chan struct{}),
	}, nil
}

// collectSections returns the sections of the head, taken from those held and supplied,
// by hash.
func collectSections(head Head, held map[string]*Section, supplied []*Section) (map[string]*Section, error) {
	suppliedByHash := make(map[string]*Section, len(supplied))
	for _, s := range supplied {
		suppliedByHash[s.hash] = s
	}
	sections := make(map[string]*Section, len(head.Sections))
	var missing []string
	for _, r := range head.Sections {
		s, ok := held[r.Hash]
		if !ok {
			s, ok = suppliedByHash[r.Hash]
		}
		if !ok {
			missing = append(missing, r.Hash)
			continue
		}
		sections[r.Hash] = s
	}
	if len(missing) > 0 {
		return nil, &MissingSectionsError{Hashes: missing}
	}
	return sections, nil
}
