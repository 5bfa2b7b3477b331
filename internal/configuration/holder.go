package configuration

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Holder keeps the configuration that a process serves on. It is safe for concurrent use.
type Holder struct {
	logger *log.Logger
	scope  tally.Scope

	// mu puts offers and the calls of subscribers into one order.
	mu          sync.Mutex
	subscribers []func(*fleet.Configuration)
	state       atomic.Pointer[state]
}

// state is one generation and what it was built from. It is immutable.
type state struct {
	cfg      *fleet.Configuration
	head     Head
	hash     uint64
	sections map[string]*Section
	// before holds the sections of beforeGeneration that this one replaced, by name.
	before           map[string]*Section
	beforeGeneration uint64
	// replaced is closed when a higher generation has taken the place of this one.
	replaced chan struct{}
}

// NewHolder returns a holder without a configuration.
func NewHolder(logger *log.Logger, scope tally.Scope) *Holder {
	h := &Holder{logger: logger, scope: scope}
	h.state.Store(&state{replaced: make(chan struct{})})
	return h
}

// Subscribe has fn called with each snapshot that comes into force, in the order of
// generations, and at once with the current one if there is one. fn must not block
// and must not call Offer or Subscribe.
func (h *Holder) Subscribe(fn func(*fleet.Configuration)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.subscribers = append(h.subscribers, fn)
	if cfg := h.state.Load().cfg; cfg != nil {
		fn(cfg)
	}
}

// Apply puts the head's configuration into force if its generation is higher than
// the current one, and reports whether it did. Sections of the current
// configuration need not be brought again. The error is a *MissingError when a
// section is neither brought nor held, or a *FormatError, *SizeError or
// *fleet.InvalidError when the configuration can't be used.
func (h *Holder) Apply(head Head, sections []*Section) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.state.Load()
	if head.Generation <= current.head.Generation {
		return false, h.checkSame(current, head)
	}
	next, err := compile(current, head, sections)
	if err != nil {
		h.scope.Counter("configurationRefused").Inc(1)
		h.logger.Warn().Uint64("generation", head.Generation).Err(err).Msg("configuration not taken")
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

// checkSame reports two different heads of one generation, which a conditional
// update of the head rules out as long as the store keeps its promise.
func (h *Holder) checkSame(current *state, head Head) error {
	if head.Generation != current.head.Generation || head.Generation == 0 || head.Hash() == current.hash {
		return nil
	}
	h.scope.Counter("configurationForked").Inc(1)
	h.logger.Error().Uint64("generation", head.Generation).Msg("two configurations have the same generation")
	return &FormatError{Name: headLabel, Reason: fmt.Sprintf("generation %d has another content here", head.Generation)}
}

func compile(current *state, head Head, brought []*Section) (*state, error) {
	if err := head.Check(); err != nil {
		return nil, err
	}
	sections, err := gather(head, current.sections, brought)
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
		cfg:              cfg,
		head:             head,
		hash:             head.Hash(),
		sections:         sections,
		before:           replacedSections(current, head),
		beforeGeneration: current.head.Generation,
		replaced:         make(chan struct{}),
	}, nil
}

// gather returns the sections of the head out of those held and brought.
func gather(head Head, held map[string]*Section, brought []*Section) (map[string]*Section, error) {
	fresh := make(map[string]*Section, len(brought))
	for _, s := range brought {
		fresh[s.hash] = s
	}
	sections := make(map[string]*Section, len(head.Sections))
	var missing []string
	for _, r := range head.Sections {
		s, ok := held[r.Hash]
		if !ok {
			s, ok = fresh[r.Hash]
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
