package instance

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
)

// LogWriter writes log lines in the background. It never blocks its callers: lines that
// come while too many wait are left out and counted.
type LogWriter struct {
	async  *log.AsyncWriter
	missed atomic.Int64

	mu     sync.RWMutex
	closed bool
}

// NewLogWriter returns a writer to w that lets so many lines wait.
func NewLogWriter(w io.Writer, lines uint) *LogWriter {
	return &LogWriter{async: &log.AsyncWriter{ChannelSize: lines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: w}}}
}

// WriteEntry takes a line, or counts it as left out.
func (w *LogWriter) WriteEntry(e *log.Entry) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return 0, io.ErrClosedPipe
	}
	n, err := w.async.WriteEntry(e)
	if err != nil {
		w.missed.Add(1)
	}
	return n, err
}

// TakeDropped returns how many lines were left out since the last call.
func (w *LogWriter) TakeDropped() int64 { return w.missed.Swap(0) }

// Close writes the lines that wait. Later lines are dropped.
func (w *LogWriter) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil
	}
	w.closed = true
	return w.async.Close()
}
