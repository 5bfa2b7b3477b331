package instance

import (
	"io"
	"strings"
	"time"

	"github.com/phuslu/log"
)

// Keys of log lines.
const (
	KeyRequest       = "request"
	KeyOrganisation  = "organisation"
	KeyPipeline      = "pipeline"
	KeyStage         = "stage"
	KeyUpstream      = "upstream"
	KeyFailureDomain = "failureDomain"
	KeyGeneration    = "generation"
	KeyReason        = "reason"
	// KeyMissed is the number of lines dropped before this one: those of the same kind, or
	// in the gateway's report of dropped lines, those of all kinds.
	KeyMissed = "missed"
)

// maxLoggedText bounds a text of a caller in a log line.
const maxLoggedText = 128

// LogText returns a text of a caller for log lines: itself, or a copy of its beginning.
func LogText(s string) string {
	if len(s) <= maxLoggedText {
		return s
	}
	return strings.Clone(s[:maxLoggedText])
}

// NewLogger returns a logger that writes one JSON object per line to w. An unknown
// level is treated as info.
func NewLogger(level string, w io.Writer) *log.Logger {
	parsed := log.ParseLevel(level)
	if parsed < log.TraceLevel || parsed > log.PanicLevel {
		parsed = log.InfoLevel
	}
	return &log.Logger{
		Level:      parsed,
		TimeField:  "time",
		TimeFormat: time.RFC3339Nano,
		Writer:     &log.IOWriter{Writer: w},
	}
}
