package instance

import (
	"io"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
)

// maxBufferedLogBytes bounds the buffered log lines together: a line may have what a caller sent.
const maxBufferedLogBytes = 4 << 20

// LogWriter writes log lines in the background. It never blocks its callers: lines are
// dropped and counted while its buffer is full, in lines or in bytes.
type LogWriter struct {
	async   *log.AsyncWriter
	dropped atomic.Int64
	// buffered is the number of bytes of the buffered lines.
	buffered atomic.Int64

	mu     sync.RWMutex
	closed bool
}

// NewLogWriter returns a writer to w that buffers at most lines log lines.
func NewLogWriter(w io.Writer, lines uint) *LogWriter {
	l := &LogWriter{}
	l.async = &log.AsyncWriter{ChannelSize: lines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: &countedWriter{w: w, buffered: &l.buffered}}}
	return l
}

// countedWriter takes what it has written off the count of buffered bytes.
type countedWriter struct {
	w        io.Writer
	buffered *atomic.Int64
}

func (c *countedWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.buffered.Add(-int64(len(p)))
	return n, err
}

// WriteEntry buffers a line, or counts it as dropped. After Close it returns
// io.ErrClosedPipe and doesn't count the line.
func (w *LogWriter) WriteEntry(e *log.Entry) (int, error) {
	w.mu.RLock()
	defer w.mu.RUnlock()
	if w.closed {
		return 0, io.ErrClosedPipe
	}
	if w.buffered.Load() >= maxBufferedLogBytes {
		w.dropped.Add(1)
		return 0, log.ErrAsyncWriterFull
	}
	n, err := w.async.WriteEntry(e)
	if err != nil {
		w.dropped.Add(1)
		return n, err
	}
	w.buffered.Add(int64(n))
	return n, nil
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
