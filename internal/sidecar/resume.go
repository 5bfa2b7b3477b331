package sidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/pkg/engine"
)

const (
	// maxResumes bounds how often one attempt is resumed, with or without success.
	maxResumes = 4
	// resumeBackoff is the delay after a resume that received no new chunks.
	resumeBackoff = 50 * time.Millisecond
	// minResumeTime is the minimum remaining time for which a stream is resumed.
	minResumeTime = 10 * time.Millisecond
	// resumeOverlapChunks is the number of chunks that are requested again and compared,
	// so that the text of another stream isn't used as the continuation.
	resumeOverlapChunks = 4
)

// resumeResult is the result of resuming a stream whose connection broke; it is a metric
// tag and a log field.
type resumeResult string

const (
	resumeSucceeded   resumeResult = "resumed"
	resumeLost        resumeResult = "connectionLost"
	resumeDeadline    resumeResult = "deadline"
	resumeRestarted   resumeResult = "restarted"
	resumeRejected    resumeResult = "gone"
	resumeMismatch    resumeResult = "mismatch"
	resumeUnsupported resumeResult = "unsupported"
	resumeFailed      resumeResult = "failed"
	resumeTooMany     resumeResult = "tooMany"
	resumeCancelled   resumeResult = "givenUp"
)

var errMismatch = errors.New("resumed stream differs from the chunks received before")

// streamedAnswer collects the chunks of one attempt across all its connections.
type streamedAnswer struct {
	sink func(engine.Chunk) error
	text strings.Builder
	// chunks is the number of chunks, and lastChunks holds the most recent ones.
	chunks     int
	lastChunks []string
	// expected are the chunks that a resumed stream must repeat first.
	expected []string
}

// add verifies a repeated chunk, or appends a new one and passes it to the sink.
func (a *streamedAnswer) add(c engine.Chunk) error {
	if len(a.expected) > 0 {
		if c.Text != a.expected[0] {
			return errMismatch
		}
		a.expected = a.expected[1:]
		return nil
	}
	if a.text.Len()+len(c.Text) > engine.MaxReplyBytes {
		return engine.ErrReplyTooLarge
	}
	a.text.WriteString(c.Text)
	a.chunks++
	if len(a.lastChunks) == resumeOverlapChunks {
		a.lastChunks = a.lastChunks[1:]
	}
	a.lastChunks = append(a.lastChunks, c.Text)
	if a.sink == nil {
		return nil
	}
	return a.sink(c)
}

// rewind expects the last chunks to be repeated and returns the position to resume from.
func (a *streamedAnswer) rewind() int {
	a.expected = slices.Clone(a.lastChunks)
	return a.chunks - len(a.expected)
}

// result returns the complete answer after its last stream ended with the given result.
func (a *streamedAnswer) result(last engine.Result) (engine.Result, error) {
	output, err := json.Marshal(a.text.String())
	if err != nil {
		return engine.Result{}, err
	}
	last.Output, last.Tokens = output, max(last.Tokens, a.chunks)
	return last, nil
}

// canResume reports whether a chat call is sent as a resumable stream. The engine
// continues such a stream after the connection is closed, so a call that needn't stream
// uses one only where the engine can cancel it.
func (s *Sidecar) canResume(streaming bool) bool {
	return s.hasCapability(engine.CapabilityResume) && (streaming || s.hasCapability(engine.CapabilityCancel))
}

// sendResumable streams the call and, when its connection breaks, resumes it if the engine
// still has the same identity.
func (s *Sidecar) sendResumable(ctx context.Context, r *peer.RunRequest, call engine.Call, sink func(engine.Chunk) error) (engine.Result, error) {
	// If this identity is out of date, checkIdentity or the engine refuses to resume.
	identity := s.reportedEngine().Identity
	answer := &streamedAnswer{sink: sink}
	result, err := s.Engine.Stream(ctx, call, answer.add)
	for tries := 0; isConnectionLost(err) && ctx.Err() == nil; tries++ {
		before := answer.chunks
		lost := err
		var outcome resumeResult
		result, outcome, err = s.resume(ctx, call.Attempt, identity, answer, tries)
		s.recordResume(r, outcome, before, err)
		switch {
		case outcome == resumeSucceeded:
			return answer.result(result)
		case outcome != resumeLost:
			return engine.Result{}, notResumedError(lost, outcome, err)
		}
		err = lost
		if answer.chunks == before {
			instance.Pause(ctx, resumeBackoff)
		}
	}
	return result, err
}

// resume resumes the stream once, from at most resumeOverlapChunks before the end of the
// received chunks.
func (s *Sidecar) resume(ctx context.Context, attempt, identity string, answer *streamedAnswer, tries int) (engine.Result, resumeResult, error) {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < minResumeTime {
		return engine.Result{}, resumeDeadline, nil
	}
	if tries == maxResumes {
		return engine.Result{}, resumeTooMany, nil
	}
	// Engines may ignore the identity in the request, so it is checked here too.
	if outcome, err := s.checkIdentity(ctx, identity); outcome != "" {
		return engine.Result{}, outcome, err
	}
	result, supported, err := s.Engine.Resume(ctx, attempt, identity, answer.rewind(), answer.add)
	switch {
	case !supported:
		return engine.Result{}, resumeUnsupported, nil
	case err != nil && ctx.Err() != nil:
		return engine.Result{}, resumeCancelled, err
	case err != nil:
		return engine.Result{}, resumeFailure(err), err
	case len(answer.expected) > 0:
		return engine.Result{}, resumeMismatch, errMismatch
	}
	return result, resumeSucceeded, nil
}

// checkIdentity checks whether the engine still has the given identity.
func (s *Sidecar) checkIdentity(ctx context.Context, identity string) (resumeResult, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	description, ok, err := s.Engine.Describe(ctx)
	switch {
	case err != nil:
		return resumeLost, err
	case !ok:
		return resumeUnsupported, nil
	case identity == "" || description.Identity != identity:
		return resumeRestarted, nil
	}
	return "", nil
}

func resumeFailure(err error) resumeResult {
	var notSent *engine.NotSentError
	var rejected *engine.RejectedError
	var unknown *engine.UnknownError
	var invalid *engine.InvalidReplyError
	switch {
	case errors.Is(err, errMismatch), errors.As(err, &invalid):
		return resumeMismatch
	case errors.As(err, &rejected):
		return resumeRejected
	case isConnectionLost(err), errors.As(err, &notSent):
		return resumeLost
	case errors.As(err, &unknown) && unknown.Status == 0:
		return resumeLost
	default:
		return resumeFailed
	}
}

func isConnectionLost(err error) bool {
	var truncated *engine.TruncatedError
	return errors.As(err, &truncated) && truncated.ConnectionLost
}

// notResumedError returns the error of a call whose stream broke and can't be resumed.
func notResumedError(lost error, outcome resumeResult, err error) error {
	var stopped *engine.SinkError
	if errors.As(err, &stopped) && outcome != resumeMismatch {
		return err
	}
	reason := lost.Error() + "; not resumed: " + string(outcome)
	if err != nil {
		reason += ": " + err.Error()
	}
	return &engine.UnknownError{Status: http.StatusOK, Cause: &engine.TruncatedError{Reason: reason}}
}

func (s *Sidecar) recordResume(r *peer.RunRequest, outcome resumeResult, position int, err error) {
	s.Scope.Tagged(map[string]string{"result": string(outcome)}).Counter("streamResumes").Inc(1)
	s.Logger.Info().Err(err).Str(instance.KeyRequest, r.Request).Str(instance.KeyStage, r.Stage).
		Str(instance.KeyUpstream, s.id.Upstream).Str("attempt", r.Attempt).Int("position", position).
		Str("result", string(outcome)).Msg("resume after a lost stream connection")
}
