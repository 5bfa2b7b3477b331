package admission

import (
	"container/heap"
	"container/list"
	"time"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// waiter is one waiting request.
type waiter struct {
	request Request
	// latestStart is when the request must have started to meet its deadline; the zero
	// time means no deadline.
	latestStart time.Time
	// done receives the refusal, or nil for a grant; its buffer holds one value.
	done    chan *Refusal
	granted bool
	// organisation and element are set while the waiter is queued.
	organisation *organisation
	element      *list.Element
}

func newWaiter(r Request) *waiter {
	r.Priority = min(max(r.Priority, 0), fleet.PriorityCount-1)
	r.Weight = max(r.Weight, 1)
	w := &waiter{request: r, done: make(chan *Refusal, 1)}
	if !r.Deadline.IsZero() {
		w.latestStart = r.Deadline.Add(-r.Expected)
	}
	return w
}

func (w *waiter) isLate(now time.Time) bool {
	return !w.latestStart.IsZero() && !now.Before(w.latestStart)
}

// level holds the waiting requests of one priority. It is a start-time fair
// queue: the organisation with the lowest start tag is served next, and each grant
// adds the inverse of the organisation's weight to its tag.
type level struct {
	queued int
	// bypassed counts the grants to other priorities since the last grant to this one
	// while requests of this one waited.
	bypassed int
	// virtualTime is the highest tag at a grant. An organisation that becomes active
	// gets at least this tag.
	virtualTime   float64
	organisations map[string]*organisation
	byTag         tagHeap
	byBacklog     backlogHeap
	// idle lists organisations without waiting requests that still have a tag.
	idle list.List
}

type organisation struct {
	name    string
	weight  int
	tag     float64
	waiters list.List
	// tagIndex and backlogIndex are the indices in the heaps, or -1.
	tagIndex     int
	backlogIndex int
	idle         *list.Element
}

func (q *Queue) level(w *waiter) *level {
	if q.cfg.FIFO {
		return &q.levels[0]
	}
	return &q.levels[w.request.Priority]
}

func (q *Queue) organisationName(w *waiter) string {
	if q.cfg.FIFO {
		return ""
	}
	return w.request.Organisation
}

func (q *Queue) push(w *waiter) {
	if q.queued == 0 {
		q.busySince = time.Now()
	}
	q.queued++
	q.depth.Update(float64(q.queued))
	q.level(w).push(w, q.organisationName(w))
}

func (q *Queue) remove(w *waiter) {
	q.queued--
	q.depth.Update(float64(q.queued))
	q.level(w).remove(w)
}

// reroutable returns the waiting requests that can run on another upstream.
func (q *Queue) reroutable() []*waiter {
	var found []*waiter
	for i := range q.levels {
		for _, o := range q.levels[i].byTag {
			for e := o.waiters.Front(); e != nil; e = e.Next() {
				if w := e.Value.(*waiter); w.request.Reroutable {
					found = append(found, w)
				}
			}
		}
	}
	return found
}

// next returns the waiter to serve next. The queue must not be empty.
func (q *Queue) next() *waiter {
	l := q.nextLevel()
	o := l.byTag[0]
	if !q.cfg.FIFO && time.Since(q.busySince) > overloadAfter {
		return o.waiters.Back().Value.(*waiter)
	}
	return o.waiters.Front().Value.(*waiter)
}

func (q *Queue) nextLevel() *level {
	var highest *level
	for i := range q.levels {
		l := &q.levels[i]
		if l.queued == 0 {
			continue
		}
		if l.bypassed >= StarvationGrants {
			return l
		}
		highest = l
	}
	return highest
}

// charge counts a grant towards the waiter's organisation and priority.
func (q *Queue) charge(w *waiter) {
	served := q.level(w)
	for i := range q.levels {
		if l := &q.levels[i]; l.queued > 0 {
			l.bypassed++
		}
	}
	served.bypassed = 0
	served.charge(w)
}

// evictFor frees a place in the queue for the waiter by refusing the oldest request
// of the organisation with the longest backlog relative to its weight, in the lowest
// priority. It doesn't evict the last request of a lower priority, so that no priority
// starves.
func (q *Queue) evictFor(w *waiter) bool {
	if q.cfg.FIFO {
		return false
	}
	for i := range q.levels[:w.request.Priority+1] {
		l := &q.levels[i]
		if l.queued == 0 || l.queued == 1 && i < int(w.request.Priority) {
			continue
		}
		o := l.byBacklog[0]
		if i == int(w.request.Priority) && !l.hasLongerBacklog(o, w) {
			return false
		}
		q.deliver(o.waiters.Front().Value.(*waiter), q.refuse(ReasonQueueFull, q.retryAfter()))
		return true
	}
	return false
}

// hasLongerBacklog reports whether the organisation's backlog, relative to its weight,
// is at least as long as that of the waiter's organisation including the waiter.
func (l *level) hasLongerBacklog(o *organisation, w *waiter) bool {
	ownBacklog := 1
	if mine, ok := l.organisations[w.request.Organisation]; ok {
		ownBacklog += mine.waiters.Len()
		if mine == o {
			return true
		}
	}
	return o.backlog() >= float64(ownBacklog)/float64(w.request.Weight)
}

func (l *level) push(w *waiter, name string) {
	o, ok := l.organisations[name]
	if !ok {
		o = &organisation{name: name, tagIndex: -1, backlogIndex: -1}
		l.organisations[name] = o
	}
	o.weight = w.request.Weight
	l.queued++
	w.organisation = o
	w.element = o.waiters.PushBack(w)
	if o.waiters.Len() > 1 {
		heap.Fix(&l.byBacklog, o.backlogIndex)
		return
	}
	if o.idle != nil {
		l.idle.Remove(o.idle)
		o.idle = nil
	}
	o.tag = max(o.tag, l.virtualTime)
	heap.Push(&l.byTag, o)
	heap.Push(&l.byBacklog, o)
}

func (l *level) remove(w *waiter) {
	o := w.organisation
	o.waiters.Remove(w.element)
	w.organisation, w.element = nil, nil
	l.queued--
	if o.waiters.Len() > 0 {
		heap.Fix(&l.byBacklog, o.backlogIndex)
		return
	}
	heap.Remove(&l.byTag, o.tagIndex)
	heap.Remove(&l.byBacklog, o.backlogIndex)
	o.idle = l.idle.PushBack(o)
	l.dropIdle()
}

func (l *level) charge(w *waiter) {
	o := w.organisation
	l.virtualTime = max(l.virtualTime, o.tag)
	o.tag += 1 / float64(o.weight)
	heap.Fix(&l.byTag, o.tagIndex)
}

// dropIdle drops idle organisations whose tag is no longer ahead of the virtual time,
// or all of them when the level is empty.
func (l *level) dropIdle() {
	if l.queued == 0 {
		l.bypassed = 0
	}
	for e := l.idle.Front(); e != nil; e = l.idle.Front() {
		o := e.Value.(*organisation)
		if l.queued > 0 && o.tag > l.virtualTime {
			return
		}
		l.idle.Remove(e)
		delete(l.organisations, o.name)
	}
}

func (o *organisation) backlog() float64 {
	return float64(o.waiters.Len()) / float64(o.weight)
}

// tagHeap is a min-heap of organisations by tag.
type tagHeap []*organisation

func (h tagHeap) Len() int           { return len(h) }
func (h tagHeap) Less(i, j int) bool { return h[i].tag < h[j].tag }
func (h tagHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].tagIndex, h[j].tagIndex = i, j
}

// Push adds an organisation for container/heap.
func (h *tagHeap) Push(x any) {
	o := x.(*organisation)
	o.tagIndex = len(*h)
	*h = append(*h, o)
}

// Pop removes the last organisation for container/heap.
func (h *tagHeap) Pop() any {
	n := len(*h) - 1
	o := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	o.tagIndex = -1
	return o
}

// backlogHeap is a max-heap of organisations by backlog relative to their weight.
type backlogHeap []*organisation

func (h backlogHeap) Len() int           { return len(h) }
func (h backlogHeap) Less(i, j int) bool { return h[i].backlog() > h[j].backlog() }
func (h backlogHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].backlogIndex, h[j].backlogIndex = i, j
}

// Push adds an organisation for container/heap.
func (h *backlogHeap) Push(x any) {
	o := x.(*organisation)
	o.backlogIndex = len(*h)
	*h = append(*h, o)
}

// Pop removes the last organisation for container/heap.
func (h *backlogHeap) Pop() any {
	n := len(*h) - 1
	o := (*h)[n]
	(*h)[n] = nil
	*h = (*h)[:n]
	o.backlogIndex = -1
	return o
}
