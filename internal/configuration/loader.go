package configuration

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Loader reads the configuration from the store into a Holder.
type Loader struct {
	store  Store
	holder *Holder

	mu sync.Mutex
	// fetched contains the sections that an unfinished load has read, so that the next
	// load resumes there. A complete configuration can take longer than one load may,
	// because calls to the store are rate limited.
	fetched map[string]*Section
}

// NewLoader returns a loader.
func NewLoader(store Store, holder *Holder) *Loader {
	return &Loader{store: store, holder: holder, fetched: make(map[string]*Section)}
}

// Load reads the head and the sections that the holder lacks, and applies them to the
// holder. It returns the generation in the store, or 0 and no error if the store has
// no head.
func (l *Loader) Load(ctx context.Context) (uint64, error) {
	var err error
	for range maxLoadAttempts {
		var head Head
		if head, _, err = l.readHead(ctx); err != nil || head.Generation == 0 {
			return 0, err
		}
		if err = l.LoadHead(ctx, head); err == nil {
			return head.Generation, nil
		}
		// A section of a replaced head may have been removed, so the head is read again.
		if !l.store.IsNotFound(err) {
			return 0, err
		}
	}
	return 0, err
}

// LoadHead reads the sections of the head that the holder lacks, and applies the head to
// the holder.
func (l *Loader) LoadHead(ctx context.Context, head Head) error {
	if head.Generation <= l.holder.Generation() {
		_, err := l.holder.Apply(head, nil)
		return err
	}
	missing := l.holder.Missing(head)
	if l.retainFetched(missing) > listThreshold {
		l.fetchFromList(ctx, missing)
	}
	sections, err := l.readSections(ctx, missing)
	if err != nil {
		return err
	}
	if _, err = l.holder.Apply(head, sections); err == nil {
		l.retainFetched(nil)
	}
	return err
}

// retainFetched drops all fetched sections except those with the hashes, and returns
// the number of hashes that are not fetched yet.
func (l *Loader) retainFetched(hashes []string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	retained := make(map[string]*Section)
	for _, hash := range hashes {
		if s, ok := l.fetched[hash]; ok {
			retained[hash] = s
		}
	}
	l.fetched = retained
	return len(hashes) - len(retained)
}

// fetchFromList fetches the sections with the hashes by one list call. Those that it
// doesn't get, including after a failed call, are read one by one later.
func (l *Loader) fetchFromList(ctx context.Context, hashes []string) {
	objects, err := l.store.List(ctx, KindSections)
	if err != nil {
		return
	}
	wanted := make(map[string]bool, len(hashes))
	for _, hash := range hashes {
		wanted[hash] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, obj := range objects {
		if s, err := decodeSection(obj.Spec); err == nil && s.hash == obj.Name && wanted[s.hash] {
			l.fetched[s.hash] = s
		}
	}
}

// LoadEncodedHead is LoadHead for a head from a watch. spec is the content of the head object.
func (l *Loader) LoadEncodedHead(ctx context.Context, spec []byte) error {
	head, err := ParseHead(spec)
	if err != nil {
		return err
	}
	return l.LoadHead(ctx, head)
}

// readHead returns the head and its resource version, or the zero Head if the store has none.
func (l *Loader) readHead(ctx context.Context) (Head, string, error) {
	obj, err := l.store.Get(ctx, KindConfigurations, HeadName)
	if err != nil {
		if l.store.IsNotFound(err) {
			return Head{}, "", nil
		}
		return Head{}, "", errors.Wrap(err, "reading the configuration head")
	}
	head, err := ParseHead(obj.Spec)
	if err != nil {
		return Head{}, "", err
	}
	return head, obj.ResourceVersion, nil
}

func (l *Loader) readSections(ctx context.Context, hashes []string) ([]*Section, error) {
	sections := make([]*Section, len(hashes))
	err := runParallel(ctx, len(hashes), func(ctx context.Context, i int) error {
		s, err := l.readSection(ctx, hashes[i])
		sections[i] = s
		return err
	})
	return sections, err
}

func (l *Loader) readSection(ctx context.Context, hash string) (*Section, error) {
	l.mu.Lock()
	s, ok := l.fetched[hash]
	l.mu.Unlock()
	if ok {
		return s, nil
	}
	obj, err := l.store.Get(ctx, KindSections, hash)
	if err != nil {
		return nil, errors.Wrapf(err, "reading section %s", hash)
	}
	if s, err = decodeSection(obj.Spec); err != nil {
		return nil, err
	}
	if s.hash != hash {
		return nil, &FormatError{Name: "section " + hash, Reason: "content has hash " + s.hash}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fetched[hash] = s
	return s, nil
}

// runParallel calls fn for 0 to n-1, at most maxParallelCalls at once. After the first
// error it starts no further calls and returns that error.
func runParallel(ctx context.Context, n int, fn func(context.Context, int) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wg sync.WaitGroup
	next := make(chan int)
	for range min(n, maxParallelCalls) {
		wg.Go(func() {
			for i := range next {
				if err := fn(ctx, i); err != nil {
					cancel(err)
				}
			}
		})
	}
	for i := 0; i < n && ctx.Err() == nil; i++ {
		select {
		case next <- i:
		case <-ctx.Done():
		}
	}
	close(next)
	wg.Wait()
	return context.Cause(ctx)
}
