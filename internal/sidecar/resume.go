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
	// resumePause separates a resume from one before that brought nothing new.
	resumePause = 50 * time.Millisecond
	// minResumeTime is the least time left for which a stream is resumed.
	minResumeTime = 10 * time.Millisecond
	// resumeOverlap is the number of parts that are asked for again and compared, so
	// that the text of another stream isn't taken for the rest.
	resumeOverlap = 4
)

// resumeResult says what came of a stream whose connection broke; it is a metric tag
// and a log field.
type resumeResult string

const (
	resumeWhole       resumeResult = "resumed"
	resumeLost        resumeResult = "connectionLost"
	resumeDeadline    resumeResult = "deadline"
	resumeRestarted   resumeResult = "restarted"
	resumeGone        resumeResult = "gone"
	resumeMismatch    resumeResult = "mismatch"
	resumeUnsupported resumeResult = "unsupported"
	resumeFailed      resumeResult = "failed"
	resumeTooMany     resumeResult = "tooMany"
	resumeGivenUp     resumeResult = "givenUp"
)

var errMismatch = errors.New("the resumed stream differs from the parts before")

// answerParts collects the parts of one attempt over all its connections.
type answerParts struct {
	sink func(engine.Chunk) error
	text strings.Builder
	// count is the number of parts, and last holds the last of them.
	count int
	last  []string
	// expected are the parts that a resumed stream must repeat first.
	expected []string
}

// add takes the next part of the stream and hands it on unless it is a repeated one.
func (p *answerParts) add(c engine.Chunk) error {
	if len(p.expected) > 0 {
		if c.Text != p.expected[0] {
			return errMismatch
		}
		p.expected = p.expected[1:]
		return nil
	}
	if p.text.Len()+len(c.Text) > engine.MaxReplyBytes {
		return engine.ErrReplyTooLarge
	}
	p.text.WriteString(c.Text)
	p.count++
	if len(p.last) == resumeOverlap {
		p.last = p.last[1:]
	}
	p.last = append(p.last, c.Text)
	if p.sink == nil {
		return nil
	}
	return p.sink(c)
}

// rewind expects the last parts again and returns the position to resume from.
func (p *answerParts) rewind() int {
	p.expected = slices.Clone(p.last)
	return p.count - len(p.expected)
}

// result returns the whole answer after its last stream ended with the result.
func (p *answerParts) result(last engine.Result) (engine.Result, error) {
	output, err := json.Marshal(p.text.String())
	if err != nil {
		return engine.Result{}, err
	}
	last.Output, last.Tokens = output, max(last.Tokens, p.count)
	return last, nil
}

// canResume reports whether a chat call is sent as a stream that can be resumed. The
// engine lets such a stream run on after the connection was closed, so a call that
// needn't stream uses one only where the engine can cancel it.
func (s *Sidecar) canResume(streams bool) bool {
	return s.has(engine.CapabilityResume) && (streams || s.has(engine.CapabilityCancel))
}

// sendResumable streams the call and resumes it at the same start of the engine when
// its connection breaks.
func (s *Sidecar) sendResumable(ctx context.Context, r *peer.RunRequest, call engine.Call, sink func(engine.Chunk) error) (engine.Result, error) {
	// An identity that is out of date by now makes the engine refuse to resume.
	identity := s.engineKnown().Identity
	parts := &answerParts{sink: sink}
	result, err := s.Engine.Stream(ctx, call, parts.add)
	for tries := 0; isConnectionLost(err) && ctx.Err() == nil; tries++ {
		before := parts.count
		lost := err
		var outcome resumeResult
		result, outcome, err = s.resume(ctx, call.Attempt, identity, parts, tries)
		s.recordResume(r, outcome, before, err)
		switch {
		case outcome == resumeWhole:
			return parts.result(result)
		case outcome != resumeLost:
			return engine.Result{}, notResumed(lost, outcome, err)
		}
		err = lost
		if parts.count == before {
			instance.Pause(ctx, resumePause)
		}
	}
	return result, err
}

// resume reads on once from the position that the parts have.
func (s *Sidecar) resume(ctx context.Context, attempt, identity string, parts *answerParts, tries int) (engine.Result, resumeResult, error) {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < minResumeTime {
		return engine.Result{}, resumeDeadline, nil
	}
	if tries == maxResumes {
		return engine.Result{}, resumeTooMany, nil
	}
	// Engines may ignore the identity in the request.
	if outcome, err := s.checkIdentity(ctx, identity); outcome != "" {
		return engine.Result{}, outcome, err
	}
	result, supported, err := s.Engine.Resume(ctx, attempt, identity, parts.rewind(), parts.add)
	switch {
	case !supported:
		return engine.Result{}, resumeUnsupported, nil
	case err != nil && ctx.Err() != nil:
		return engine.Result{}, resumeGivenUp, err
	case err != nil:
		return engine.Result{}, resumeFailure(err), err
	case len(parts.expected) > 0:
		return engine.Result{}, resumeMismatch, errMismatch
	}
	return result, resumeWhole, nil
}

// checkIdentity asks whether the engine is still the same start of it.
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
	var notContacted *engine.NotContactedError
	var rejected *engine.RejectedError
	var unknown *engine.UnknownError
	var invalid *engine.InvalidReplyError
	switch {
	case errors.Is(err, errMismatch), errors.As(err, &invalid):
		return resumeMismatch
	case errors.As(err, &rejected):
		return resumeGone
	case isConnectionLost(err), errors.As(err, &notContacted):
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

// notResumed is the failure of a call whose stream broke and can't go on.
func notResumed(lost error, outcome resumeResult, err error) error {
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
		Str("result", string(outcome)).Msg("connection of a stream lost")
}
