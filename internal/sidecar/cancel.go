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
	// cancelTimeout bounds the cancellation of one attempt, and with it the time that an
	// engine which doesn't confirm can occupy the slot.
	cancelTimeout = 500 * time.Millisecond
	// maxCancelTries bounds the cancel messages for one attempt. After one that finds the
	// attempt running, more are sent until one finds that it has ended.
	maxCancelTries = 6
	// maxNotRunningTries bounds the cancel messages that don't find the attempt. They may
	// have overtaken the call, which uses another connection.
	maxNotRunningTries = 3
	// cancelBackoff is the first delay between cancel messages; each delay is double the
	// previous one.
	cancelBackoff = 10 * time.Millisecond
	// maxConcurrentCancels bounds the cancellations that are sent to the engine at once.
	maxConcurrentCancels = 16
)

// cancelResult is the result of cancelling an attempt; it is a metric tag and a log field.
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

// finishFailed ends an attempt whose call failed. Where the engine may still run the call
// and has the cancel capability, the end waits for the cancellation, so that the slot
// isn't free while the engine works. Runs of stages that are not idempotent are not
// cancelled.
func (s *Sidecar) finishFailed(a *activity, r *peer.RunRequest, stage fleet.Stage, reason peer.Reason, err error, end func()) {
	if !stage.Idempotent || r.Attempt == "" || !mayStillRun(err) || !s.hasCapability(engine.CapabilityCancel) {
		end()
		return
	}
	a.hold()
	go func() {
		defer a.release()
		// The attempt stays registered until its end, so that the cancellation can't
		// affect a later one with the same id.
		defer end()
		s.cancelAtEngine(r, reason, err)
	}()
}

// mayStillRun reports whether the upstream may still be running the call. A status of 400
// or more means that the upstream has ended it.
func mayStillRun(err error) bool {
	var unknown *engine.UnknownError
	return errors.As(err, &unknown) && unknown.Status < 400
}

// hasNoResponse reports whether no response header arrived, so that the call may still be
// in flight to the engine.
func hasNoResponse(err error) bool {
	var unknown *engine.UnknownError
	return errors.As(err, &unknown) && unknown.Status == 0
}

// cancelAtEngine cancels the attempt at the engine and records the result.
func (s *Sidecar) cancelAtEngine(r *peer.RunRequest, reason peer.Reason, cause error) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	started := time.Now()
	result := s.cancelUntilEnded(ctx, r.Attempt, hasNoResponse(cause))
	s.Scope.Tagged(map[string]string{"reason": string(reason), "result": string(result)}).Counter("engineCancels").Inc(1)
	s.Logger.Info().Str(instance.KeyRequest, r.Request).Str(instance.KeyStage, r.Stage).
		Str(instance.KeyUpstream, s.id.Upstream).Str("attempt", r.Attempt).Str(instance.KeyReason, string(reason)).
		Str("result", string(result)).Dur("took", time.Since(started)).Msg("tried to cancel a failed call at the engine")
}

// cancelUntilEnded sends cancel messages until the engine has ended the attempt, at most
// maxCancelTries times.
func (s *Sidecar) cancelUntilEnded(ctx context.Context, attempt string, mayBeInFlight bool) cancelResult {
	select {
	case s.cancelSlots <- struct{}{}:
	case <-ctx.Done():
		return cancelTooMany
	}
	defer func() { <-s.cancelSlots }()
	result := cancelFailed
	for try := range maxCancelTries {
		if try > 0 {
			instance.Pause(ctx, cancelBackoff<<(try-1))
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
			// The reply doesn't confirm that the work has ended; the next message checks
			// that.
			result = cancelNotEnded
			continue
		case result == cancelNotEnded:
			return cancelConfirmed
		}
		result = cancelNotRunning
		if !mayBeInFlight || try+1 >= maxNotRunningTries {
			return result
		}
	}
	return result
}
