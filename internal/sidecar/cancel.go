package sidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/engine"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

const (
	// cancelTimeout bounds the cancellation of one attempt, and with it the time that
	// an engine which doesn't confirm can hold the slot.
	cancelTimeout = 500 * time.Millisecond
	// cancelTries bounds the messages for one attempt. One that finds the attempt is
	// followed by others until one sees its end.
	cancelTries = 6
	// lateTries bounds those that find nothing. They may have overtaken the call,
	// which travels on another connection.
	lateTries = 3
	// cancelPause is the first pause between messages; each pause doubles.
	cancelPause = 10 * time.Millisecond
	// maxCancels bounds the cancellations that are sent to the engine at once.
	maxCancels = 16
)

// cancelResult says what came of the cancellation of an attempt; it is a metric tag
// and a log field.
type cancelResult string

const (
	cancelConfirmed   cancelResult = "cancelled"
	cancelNotEnded    cancelResult = "notEnded"
	cancelNotRunning  cancelResult = "notRunning"
	cancelUnsupported cancelResult = "unsupported"
	cancelTimedOut    cancelResult = "timeout"
	cancelFailed      cancelResult = "failed"
	cancelTooMany     cancelResult = "tooMany"
)

// endFailed ends an attempt whose call failed. Where the engine may still run the
// call and states that it can cancel, the end waits for the cancellation, so that the
// slot isn't free while the engine works. Runs that may not be repeated are left to
// their end.
func (s *Sidecar) endFailed(r *peer.RunRequest, stage fleet.Stage, reason peer.Reason, err error, end func()) {
	if !stage.Idempotent || r.Attempt == "" || !mayRunOn(err) || !s.has(engine.CapabilityCancel) {
		end()
		return
	}
	s.active.Add(1)
	go func() {
		defer s.active.Add(-1)
		// The attempt stays registered until its end, so that no later one with the
		// same id can be hit.
		defer end()
		s.cancelAtEngine(r, reason, err)
	}()
}

// mayRunOn reports whether the upstream may go on with the call. A status of 400 or
// more is its own end of the call.
func mayRunOn(err error) bool {
	var unknown *engine.UnknownError
	return errors.As(err, &unknown) && unknown.Status < 400
}

// isUnanswered reports whether no header of a reply came, so that the call may still
// be on its way to the engine.
func isUnanswered(err error) bool {
	var unknown *engine.UnknownError
	return errors.As(err, &unknown) && unknown.Status == 0
}

// cancelAtEngine stops the attempt at the engine and records what came of it.
func (s *Sidecar) cancelAtEngine(r *peer.RunRequest, reason peer.Reason, cause error) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	begun := time.Now()
	result := s.sendCancels(ctx, r.Attempt, isUnanswered(cause))
	s.Scope.Tagged(map[string]string{"reason": string(reason), "result": string(result)}).Counter("engineCancels").Inc(1)
	s.Logger.Info().Str(instance.KeyRequest, r.Request).Str(instance.KeyStage, r.Stage).
		Str(instance.KeyUpstream, s.id.Upstream).Str("attempt", r.Attempt).Str(instance.KeyReason, string(reason)).
		Str("result", string(result)).Dur("took", time.Since(begun)).Msg("abandoned attempt cancelled at the engine")
}

// sendCancels sends the cancellation until the engine has ended the attempt, at most
// cancelTries times.
func (s *Sidecar) sendCancels(ctx context.Context, attempt string, mayBeOnItsWay bool) cancelResult {
	select {
	case s.cancels <- struct{}{}:
	case <-ctx.Done():
		return cancelTooMany
	}
	defer func() { <-s.cancels }()
	result := cancelFailed
	for try := range cancelTries {
		if try > 0 {
			instance.Pause(ctx, cancelPause<<(try-1))
		}
		running, supported, err := s.Engine.Cancel(ctx, attempt)
		switch {
		case ctx.Err() != nil:
			return cancelTimedOut
		case err != nil:
			continue
		case !supported:
			return cancelUnsupported
		case running:
			// The reply doesn't say that the work has ended; the next message finds out.
			result = cancelNotEnded
			continue
		case result == cancelNotEnded:
			return cancelConfirmed
		}
		result = cancelNotRunning
		if !mayBeOnItsWay || try+1 >= lateTries {
			return result
		}
	}
	return result
}
