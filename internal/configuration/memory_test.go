package configuration

import (
	"context"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

var (
	errConflict = errors.New("conflict")
	errNotFound = errors.New("not found")
	errDown     = errors.New("store is down")
	errLost     = errors.New("reply lost")
)

// memoryStore keeps objects in memory and fails as configured by a test.
type memoryStore struct {
	mu      sync.Mutex
	objects map[string]Object
	version int
	writes  int
	bytes   int
	// down fails all calls without effect, and failLists all list calls.
	down, failLists bool
	// calls counts get and list calls.
	calls int
	// loseReply reports, after each write, whether its reply is lost.
	loseReply func(kind string) bool
	// beforeWrite is called before each write, without the lock.
	beforeWrite func(kind string)
	// afterList and beforeDelete are called once, without the lock.
	afterList, beforeDelete func()
	// readsLeft is the number of reads of sections that still succeed; unlimited if negative.
	readsLeft int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: make(map[string]Object), readsLeft: -1}
}

func (m *memoryStore) store() Store {
	return Store{
		Get:        m.get,
		Create:     func(_ context.Context, kind string, o Object) (Object, error) { return m.write(kind, o, true) },
		Update:     func(_ context.Context, kind string, o Object) (Object, error) { return m.write(kind, o, false) },
		List:       m.list,
		Delete:     m.delete,
		IsConflict: func(err error) bool { return errors.Is(err, errConflict) },
		IsNotFound: func(err error) bool { return errors.Is(err, errNotFound) },
		IsWithoutEffect: func(err error) bool {
			return errors.Is(err, errDown) || errors.Is(err, errConflict) || errors.Is(err, errNotFound)
		},
	}
}

func (m *memoryStore) get(_ context.Context, kind, name string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.down {
		return Object{}, errDown
	}
	o, ok := m.objects[kind+"/"+name]
	if !ok {
		return Object{}, errNotFound
	}
	if kind == KindSections {
		if m.readsLeft == 0 {
			return Object{}, errDown
		}
		m.readsLeft--
	}
	return o, nil
}

func (m *memoryStore) write(kind string, o Object, create bool) (Object, error) {
	if m.beforeWrite != nil {
		m.beforeWrite(kind)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return Object{}, errDown
	}
	old, ok := m.objects[kind+"/"+o.Name]
	if create == ok || (!create && old.ResourceVersion != o.ResourceVersion) {
		return Object{}, errConflict
	}
	m.version++
	m.writes++
	m.bytes += len(o.Spec)
	o.ResourceVersion = strconv.Itoa(m.version)
	m.objects[kind+"/"+o.Name] = o
	if m.loseReply != nil && m.loseReply(kind) {
		return Object{}, errLost
	}
	return o, nil
}

// once calls the function in the field, if any, and clears the field.
func once(field *func()) {
	if fn := *field; fn != nil {
		*field = nil
		fn()
	}
}

func (m *memoryStore) list(_ context.Context, kind string) ([]Object, error) {
	defer once(&m.afterList)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls++
	if m.down || m.failLists {
		return nil, errDown
	}
	var list []Object
	for name, o := range m.objects {
		if strings.HasPrefix(name, kind+"/") {
			list = append(list, o)
		}
	}
	return list, nil
}

func (m *memoryStore) delete(_ context.Context, kind, name, version string) error {
	once(&m.beforeDelete)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[kind+"/"+name].ResourceVersion != version {
		return errConflict
	}
	delete(m.objects, kind+"/"+name)
	return nil
}
