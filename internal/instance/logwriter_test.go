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
