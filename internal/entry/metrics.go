package entry

import (
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// attemptKind, failureKind and completedKind are the tags of metrics of the hot path.
// The log lines of failures are sampled per kind.
type (
	attemptKind struct {
		stage     string
		reason    peer.Reason
		execution fleet.Execution
	}
	failureKind struct {
		pipeline  string
		reason    peer.Reason
		execution fleet.Execution
	}
	completedKind struct {
		pipeline string
		priority fleet.Priority
	}
)

// metrics are the metrics of the hot path.
type metrics struct {
	attempts  *instance.CounterVec[attemptKind]
	failures  *instance.CounterVec[failureKind]
	completed *instance.CounterVec[completedKind]
	times     *instance.TimerVec[completedKind]
}

func newMetrics(scope tally.Scope) metrics {
	completedTags := func(k completedKind) map[string]string {
		return map[string]string{"pipeline": k.pipeline, "priority": k.priority.String()}
	}
	return metrics{
		attempts: instance.NewCounterVec(scope, "attempts", func(k attemptKind) map[string]string {
			return map[string]string{"stage": k.stage, "reason": string(k.reason), "execution": string(k.execution)}
		}),
		failures: instance.NewCounterVec(scope, "requestFailures", func(k failureKind) map[string]string {
			return map[string]string{"pipeline": k.pipeline, "reason": string(k.reason), "execution": string(k.execution)}
		}),
		completed: instance.NewCounterVec(scope, "requestsCompleted", completedTags),
		times:     instance.NewTimerVec(scope, "requestTime", completedTags),
	}
}

// logSamplers limit the log lines of failures of work that was not started.
type logSamplers struct {
	attempts *instance.Sampler[attemptKind]
	skips    *instance.Sampler[attemptKind]
	failures *instance.Sampler[failureKind]
}

func newLogSamplers() logSamplers {
	return logSamplers{
		attempts: instance.NewSampler[attemptKind](),
		skips:    instance.NewSampler[attemptKind](),
		failures: instance.NewSampler[failureKind](),
	}
}

// sampleLog reports whether to write a log line of the kind, and the number of lines
// left out before it. It limits only lines of work that was not started. All others are
// written, because operators search them for the upstream of a booking whose outcome is
// unknown.
func sampleLog[K comparable](s *instance.Sampler[K], kind K, execution fleet.Execution) (missed int, ok bool) {
	if execution != fleet.NotStarted {
		return 0, true
	}
	return s.Allow(kind)
}
