package instance

import (
	"context"
	"sync"
	"time"
)

// Tasks runs background tasks until it is stopped, periodic ones on a fixed number of
// workers.
type Tasks struct {
	ctx    context.Context
	cancel context.CancelFunc
	due    chan func(context.Context)
	wg     sync.WaitGroup
}

// NewTasks starts the workers.
func NewTasks(workers int) *Tasks {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Tasks{ctx: ctx, cancel: cancel, due: make(chan func(context.Context))}
	for range workers {
		t.wg.Go(t.work)
	}
	return t
}

func (t *Tasks) work() {
	for {
		select {
		case run := <-t.due:
			run(t.ctx)
		case <-t.ctx.Done():
			return
		}
	}
}

// Every runs the task once per period. A run that is due while all workers are busy
// waits for a free one; runs of one task never overlap.
func (t *Tasks) Every(period time.Duration, run func(context.Context)) {
	t.wg.Go(func() {
		ticker := time.NewTicker(period)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				t.runOnWorker(run)
			case <-t.ctx.Done():
				return
			}
		}
	})
}

func (t *Tasks) runOnWorker(run func(context.Context)) {
	done := make(chan struct{})
	job := func(ctx context.Context) {
		defer close(done)
		run(ctx)
	}
	select {
	case t.due <- job:
	case <-t.ctx.Done():
		return
	}
	select {
	case <-done:
	case <-t.ctx.Done():
	}
}

// Go runs a task that lasts until its context ends.
func (t *Tasks) Go(run func(context.Context)) {
	t.wg.Go(func() { run(t.ctx) })
}

// Stop cancels the tasks and waits for them.
func (t *Tasks) Stop() {
	t.cancel()
	t.wg.Wait()
}
