package configuration

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// Publisher commits configurations to the store.
type Publisher struct {
	store        Store
	loader       *Loader
	holder       *Holder
	newOperation func() string
	logger       *log.Logger
	scope        tally.Scope
}

// NewPublisher returns a publisher that applies its commits to the holder. newOperation
// returns an id that is unique among all commits of all processes.
func NewPublisher(store Store, holder *Holder, newOperation func() string, logger *log.Logger, scope tally.Scope) *Publisher {
	return &Publisher{
		store:        store,
		loader:       NewLoader(store, holder),
		holder:       holder,
		newOperation: newOperation,
		logger:       logger,
		scope:        scope,
	}
}

// NewOperationID returns a random 128-bit id in hexadecimal.
func NewOperationID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Commit publishes doc as the configuration that follows the base generation, which is
// 0 for the first one. It sets ChangedAt of the items that differ from base, and
// returns the new generation. The package comment lists the errors.
func (p *Publisher) Commit(ctx context.Context, base uint64, doc fleet.Document) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	generation, err := p.commit(ctx, base, doc)
	if err != nil {
		p.scope.Counter("configurationCommitFailed").Inc(1)
		p.logger.Warn().Uint64("generation", base+1).Err(err).Msg("configuration commit failed")
		return 0, err
	}
	p.scope.Counter("configurationCommitted").Inc(1)
	p.logger.Info().Uint64("generation", generation).Msg("configuration committed")
	return generation, nil
}

func (p *Publisher) commit(ctx context.Context, base uint64, doc fleet.Document) (uint64, error) {
	for {
		c, err := p.prepare(ctx, base, doc)
		if err != nil {
			return 0, err
		}
		if err := p.writeSections(ctx, c); err != nil {
			return 0, &NotWrittenError{Cause: err}
		}
		// A sweep may have removed sections of the commit, so all are written again.
		if err := p.writeHead(ctx, c); errors.Is(err, errSwept) {
			continue
		} else if err != nil {
			return 0, err
		}
		if _, err := p.holder.Apply(c.head, c.list()); err != nil {
			p.logger.Error().Uint64("generation", c.head.Generation).Err(err).Msg("committed configuration rejected by this process")
		}
		return c.head.Generation, nil
	}
}

// commit is a commit in progress.
type commit struct {
	base            uint64
	resourceVersion string
	head            Head
	spec            json.RawMessage
	sections        map[string]*Section
	// newHashes contains the hashes of sections that the base does not have.
	newHashes []string
}

func (c *commit) list() []*Section {
	list := make([]*Section, 0, len(c.sections))
	for _, s := range c.sections {
		list = append(list, s)
	}
	return list
}

// prepare reads the base, and builds the head and the sections of the commit.
func (p *Publisher) prepare(ctx context.Context, base uint64, doc fleet.Document) (*commit, error) {
	head, version, err := p.loader.readHead(ctx)
	if err != nil {
		return nil, &NotWrittenError{Cause: err}
	}
	if head.Generation != base {
		return nil, &ConflictError{Base: base, Current: head.Generation}
	}
	old, err := p.document(ctx, head)
	if err != nil {
		return nil, err
	}
	doc = stamp(old, doc, base+1)
	if _, err := fleet.New(base+1, doc); err != nil {
		return nil, err
	}
	c := &commit{base: base, resourceVersion: version}
	return c, c.build(head, doc, p.newOperation())
}

// document returns the document of the head in the store.
func (p *Publisher) document(ctx context.Context, head Head) (fleet.Document, error) {
	if head.Generation == 0 {
		return fleet.Document{}, nil
	}
	if err := p.loader.LoadHead(ctx, head); err != nil {
		return fleet.Document{}, &NotWrittenError{Cause: err}
	}
	current := p.holder.Current()
	if current.Generation() != head.Generation {
		return fleet.Document{}, &ConflictError{Base: head.Generation, Current: current.Generation()}
	}
	return current.Document(), nil
}

func (c *commit) build(base Head, doc fleet.Document, operation string) error {
	refs, sections, err := split(base, doc)
	if err != nil {
		return err
	}
	c.sections = sections
	c.head = Head{Generation: base.Generation + 1, Operation: operation, Recent: recent(base), Sweep: base.Sweep, Sections: refs}
	known := make(map[string]bool, len(base.Sections))
	for _, r := range base.Sections {
		known[r.Hash] = true
	}
	for i := range refs {
		c.setChangedAt(base, &refs[i], known)
	}
	if c.spec, err = json.Marshal(c.head); err != nil {
		return errors.Wrap(err, "encoding the configuration head")
	}
	if len(c.spec) > MaxHeadBytes {
		return &SizeError{Name: headLabel, Size: len(c.spec), Limit: MaxHeadBytes}
	}
	return c.head.Check()
}

// setChangedAt sets ChangedAt of the section and records its hash if it must be written.
func (c *commit) setChangedAt(base Head, r *SectionRef, known map[string]bool) {
	r.ChangedAt = base.Generation + 1
	if before, ok := base.ref(r.Name); ok && before.Hash == r.Hash {
		r.ChangedAt = before.ChangedAt
	}
	if !known[r.Hash] {
		known[r.Hash] = true
		c.newHashes = append(c.newHashes, r.Hash)
	}
}

// recent returns Head.Recent for the head that follows h.
func recent(h Head) []string {
	if h.Generation == 0 {
		return nil
	}
	ops := append([]string{h.Operation}, h.Recent...)
	return ops[:min(len(ops), maxRecentOperations)]
}

func (p *Publisher) writeSections(ctx context.Context, c *commit) error {
	return runParallel(ctx, len(c.newHashes), func(ctx context.Context, i int) error {
		return p.writeSection(ctx, c.sections[c.newHashes[i]])
	})
}

// writeSection creates the section, or reuses an existing one. A write with unknown
// effect is retried, which is safe because the name determines the content.
func (p *Publisher) writeSection(ctx context.Context, s *Section) error {
	for {
		_, err := p.store.Create(ctx, KindSections, Object{Name: s.hash, Spec: encodeSection(s)})
		if err != nil && p.store.IsConflict(err) {
			err = p.touchSection(ctx, s.hash)
		}
		switch {
		case err == nil:
			return nil
		case p.store.IsConflict(err) || p.store.IsNotFound(err):
			// The existing section was changed or removed meanwhile: try again.
		case p.store.IsWithoutEffect(err):
			return err
		}
		if !instance.Pause(ctx, retryDelay) {
			return errors.Wrapf(err, "writing section %s", s.hash)
		}
	}
}

// touchSection changes the resource version of a section that the base doesn't refer
// to, so that a sweep that has listed the section as unused doesn't remove it.
func (p *Publisher) touchSection(ctx context.Context, hash string) error {
	obj, err := p.store.Get(ctx, KindSections, hash)
	if err != nil {
		return err
	}
	var content sectionObject
	if err := json.Unmarshal(obj.Spec, &content); err != nil {
		return &FormatError{Name: "section " + hash, Reason: err.Error()}
	}
	content.Uses++
	if obj.Spec, err = json.Marshal(content); err != nil {
		return errors.Wrapf(err, "encoding section %s", hash)
	}
	_, err = p.store.Update(ctx, KindSections, obj)
	return err
}

// writeHead updates the head on condition that it is still the base. A write with
// unknown effect is retried under the same condition and with the same operation, so
// that at most one of the writes takes effect.
func (p *Publisher) writeHead(ctx context.Context, c *commit) error {
	mayBeWritten := false
	for {
		err := p.putHead(ctx, c)
		switch {
		case err == nil:
			return nil
		case p.store.IsConflict(err):
			return p.readBack(ctx, c, mayBeWritten)
		case p.store.IsWithoutEffect(err) && !mayBeWritten:
			return &NotWrittenError{Cause: err}
		case !p.store.IsWithoutEffect(err):
			mayBeWritten = true
		}
		if !instance.Pause(ctx, retryDelay) {
			return c.unresolved(err)
		}
	}
}

func (p *Publisher) putHead(ctx context.Context, c *commit) error {
	obj := Object{Name: HeadName, ResourceVersion: c.resourceVersion, Spec: c.spec}
	put := p.store.Update
	if c.base == 0 {
		put = p.store.Create
	}
	_, err := put(ctx, KindConfigurations, obj)
	return err
}

// readBack determines whether this commit wrote the head that replaced the base. It
// can't have done so without an earlier write with unknown effect.
func (p *Publisher) readBack(ctx context.Context, c *commit, mayBeWritten bool) error {
	for {
		head, _, err := p.loader.readHead(ctx)
		if err == nil {
			return c.outcomeFrom(head, mayBeWritten)
		}
		if !mayBeWritten {
			return &ConflictError{Base: c.base}
		}
		if !instance.Pause(ctx, retryDelay) {
			return c.unresolved(err)
		}
	}
}

// outcomeFrom determines the outcome of the commit from the head that replaced the base.
func (c *commit) outcomeFrom(head Head, mayBeWritten bool) error {
	// The resource version has changed, so an earlier write can no longer take effect.
	if head.Generation == c.base {
		return errSwept
	}
	if !mayBeWritten {
		return &ConflictError{Base: c.base, Current: head.Generation}
	}
	operation, ok := head.operationOf(c.head.Generation)
	switch {
	case !ok:
		return c.unresolved(errors.Errorf("the head of generation %d no longer lists the operation", head.Generation))
	case operation != c.head.Operation:
		return &ConflictError{Base: c.base, Current: head.Generation}
	}
	return nil
}

func (c *commit) unresolved(cause error) error {
	return &UnresolvedError{Operation: c.head.Operation, Generation: c.head.Generation, Cause: cause}
}
