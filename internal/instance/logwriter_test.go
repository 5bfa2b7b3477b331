package instance

import (
	"strings"
	"sync"
	"testing"

	"github.com/phuslu/log"
)

// blockedWriter blocks until it is opened.
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

// Guards against a full pipe of the log that blocks requests, against lines that vanish
// without a count, and against a panic of a line after the end.
func TestLogWriterNeverBlocks(t *testing.T) {
	out := &blockedWriter{open: make(chan struct{})}
	w := NewLogWriter(out, 8)
	logger := &log.Logger{Writer: w}
	for range 100 {
		logger.Info().Msg("line")
	}
	missed := w.TakeDropped()
	if missed < 80 || missed > 92 {
		t.Errorf("%d lines counted as left out", missed)
	}
	close(out.open)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	logger.Info().Msg("late")
	if n := strings.Count(out.text.String(), "\n"); int64(n) != 100-missed {
		t.Errorf("%d lines written and %d left out of 100", n, missed)
	}
}
