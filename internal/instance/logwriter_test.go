package instance

import (
	"strings"
	"sync"
	"testing"

	"github.com/phuslu/log"
)

// blockedWriter blocks writes until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.open
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// Guards against a full pipe of the log that blocks requests, against lines dropped
// without being counted, and against a panic on a line after Close.
func TestLogWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	w := NewLogWriter(out, 8)
	logger := &log.Logger{Writer: w}
	for range 100 {
		logger.Info().Msg("line")
	}
	dropped := w.TakeDropped()
	if dropped < 80 || dropped > 92 {
		t.Errorf("%d lines counted as dropped", dropped)
	}
	close(out.open)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	logger.Info().Msg("late")
	if n := strings.Count(out.text.String(), "\n"); int64(n) != 100-dropped {
		t.Errorf("%d lines written and %d dropped of 100", n, dropped)
	}
}

// Guards against lines with long texts of callers, of which a buffer that is bounded in lines holds any
// number of bytes.
func TestBufferedLinesAreBoundedInBytes(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	w := NewLogWriter(out, 1<<12)
	logger := &log.Logger{Writer: w}
	const lineBytes, lines = 64 << 10, 200
	for range lines {
		logger.Info().Msg(strings.Repeat("x", lineBytes))
	}
	if kept := lines - w.TakeDropped(); kept*lineBytes > maxBufferedLogBytes+2*lineBytes || kept < maxBufferedLogBytes/lineBytes/2 {
		t.Errorf("%d lines are buffered, want about %d", kept, maxBufferedLogBytes/lineBytes)
	}
	close(out.open)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if n := w.buffered.Load(); n != 0 {
		t.Errorf("%d bytes count as buffered after the last line", n)
	}
}
