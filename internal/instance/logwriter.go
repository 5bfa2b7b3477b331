package instance

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
)

// LogWriter writes log lines in the background. It never blocks its callers: lines are
// dropped and counted while its buffer is full.
type LogWriter struct {
	async   *log.AsyncWriter
	dropped atomic.Int64

	mu     sync.RWMutex
	closed bool
}

// NewLogWriter returns a writer to w that buffers at most lines log lines.
func NewLogWriter(w io.Writer, lines uint) *LogWriter {
	return &LogWriter{async: &log.AsyncWriter{ChannelSize: lines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: w}}}
}

// WriteEntry buffers a line, or counts it as dropped. After Close it returns
// io.ErrClosedPipe and doesn't count the line.
func (w *LogWriter) WriteEntry(e *log.Entry) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return 0, io.ErrClosedPipe
	}
	n, err := w.async.WriteEntry(e)
	if err != nil {
		w.dropped.Add(1)
	}
	return n, err
}

// TakeDropped returns how many lines were dropped since the last call.
func (w *LogWriter) TakeDropped() int64 { return w.dropped.Swap(0) }

// Close writes the buffered lines. Later lines are rejected.
func (w *LogWriter) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil
	}
	w.closed = true
	return w.async.Close()
}
