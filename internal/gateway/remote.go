package gateway

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/intake"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/pieces"
	"bergamotrudder.example/bergamotrudder/internal/roster"
)

const (
	// cancelTimeout bounds calls that cancel pieces or release results at another gateway.
	cancelTimeout = 500 * time.Millisecond
	// handOverDelay is how long another gateway must have owned a queue before pieces are
	// handed over to it: by then, heartbeats have told the gateways that sent them.
	handOverDelay = 2*heartbeatPeriod + 60*time.Millisecond
	// maxHandOvers bounds how often the pieces of a stage are handed over; then the owner by
	// this gateway's view must run them. handOverRetryDelay is the delay before they are sent
	// to a gateway that handed them over and still owns the queue by this gateway's view.
	maxHandOvers       = 3
	handOverRetryDelay = 100 * time.Millisecond
)

// MakeRequest asks the owner of a queue to run the pieces of one stage, which differ only
// in their index. Times are relative, because the clocks of gateways differ.
type MakeRequest struct {
	Service string
	// Token identifies the request in a CancelRequest.
	Token string
	// Piece is the first piece and Count the number of pieces.
	Piece      dialect.Piece
	Count      int
	Bytes      int64
	DueIn      time.Duration
	GiveUpIn   time.Duration
	EndsIn     time.Duration
	Yields     bool
	Background bool
	Domain     string
	// Force makes the receiver run the pieces also if another gateway owns their queue.
	Force bool
	// Sources are the results among the pieces' inputs that no other stage needs.
	Sources []Source
}

// MakeReply returns the results in the order of the pieces.
type MakeReply struct {
	Results []pieces.Result
	// SourcesReleased is set if the receiver has released the sources.
	SourcesReleased bool
}

// Source is a service with results that it made.
type Source struct {
	Service string
	Results []pieces.Result
}

// stageInputs are results that the pieces of one stage need and no other one does. They may
// be released as soon as these pieces are in calls that have read them.
type stageInputs struct {
	sources []Source
	claimed atomic.Bool
}

// claim reports whether the caller may release the results, which holds for one call only.
func (i *stageInputs) claim() bool { return i.claimed.CompareAndSwap(false, true) }

// CancelRequest cancels the pieces of a MakeRequest.
type CancelRequest struct{ Token string }

// ReleaseRequest releases results.
type ReleaseRequest struct {
	Service string
	Results []pieces.Result
}

// run runs count copies of the job's piece, with rising indices, at the owner of the queue of
// their service. When the owner is lost or hands them over, the pieces move to the next owner;
// they run here if the owner fails and stays the owner. A piece may therefore run twice.
func (s *Stages) run(ctx context.Context, service string, job pieces.Job, count int) ([]pieces.Result, error) {
	return s.runWithInputs(ctx, service, job, count, &stageInputs{})
}

// runWithInputs is run, and may release and claim the inputs meanwhile.
func (s *Stages) runWithInputs(ctx context.Context, service string, job pieces.Job, count int, inputs *stageInputs) ([]pieces.Result, error) {
	if len(inputs.sources) > 0 {
		job.InputsRead = func() { s.releaseRead(inputs) }
	}
	for handOvers := 0; ; {
		owner, _ := s.owner(service, count)
		isOwner := owner.Name == s.roster.Self().Name
		var results []pieces.Result
		var err error
		if isOwner {
			results, err = s.runHere(ctx, service, job, count)
		} else {
			results, err = s.runAtOwner(ctx, owner, service, job, count, handOvers >= maxHandOvers, inputs)
		}
		switch {
		case err == nil && hasFailure(results, pieces.FailureHandedOver):
			handOvers++
			s.release(service, results)
			if containsGateway(s.candidates(service), owner.Name) {
				instance.Pause(ctx, handOverRetryDelay)
			}
		// A piece may have failed in a way that another gateway can avoid, because it may reach
		// upstreams that the owner can't reach.
		case isOwner || err == nil && !hasFailure(results, dialect.FailureExecution):
			return results, err
		case ctx.Err() != nil:
			return nil, context.Cause(ctx)
		default:
			if err != nil {
				s.roster.MarkLost(owner.Name, time.Now())
			}
			s.logger.Warn().Err(err).Str(instance.KeyRequest, instance.LogText(job.Piece.ID)).Str("service", service).Str("gateway", owner.Name).Int("pieces", count).Msg("pieces not run by the owner of their queue; running them again")
			s.release(service, results)
			if containsGateway(s.candidates(service), owner.Name) {
				return s.runHere(ctx, service, job, count)
			}
		}
	}
}

// runHere runs the pieces in the queue of this gateway, if there is memory for them: the callers of a
// crowd may be at all gateways, and only the owner knows of their sum.
func (s *Stages) runHere(ctx context.Context, service string, job pieces.Job, count int) ([]pieces.Result, error) {
	d := s.dispatcher(service)
	if s.memory != nil {
		var held intake.Share
		defer held.Release()
		held.Open(s.memory)
		switch err := held.TakeWhole(ctx, job.Memory(count, d.AtOnce())); {
		case errors.Is(err, intake.ErrSpent):
			s.memory.Count(intake.CauseMemory)
			return failedResults(count, pieces.FailureNoMemory), nil
		case err != nil:
			return nil, err
		}
	}
	return d.Run(ctx, job.Copies(count))
}

// hasFailure reports whether a piece has the failure.
func hasFailure(results []pieces.Result, failure dialect.Failure) bool {
	for _, r := range results {
		if r.Failure == failure {
			return true
		}
	}
	return false
}

// runAtOwner runs the pieces at the gateway that owns their queue.
func (s *Stages) runAtOwner(ctx context.Context, owner roster.Gateway, service string, job pieces.Job, count int, force bool, inputs *stageInputs) ([]pieces.Result, error) {
	now := time.Now()
	args := &MakeRequest{
		Service: service, Token: instance.NewIncarnation(), Piece: job.Piece, Count: count, Bytes: job.Bytes, Yields: job.Deferred, Background: job.Background, Domain: job.Domain, Force: force,
		DueIn: job.Due.Sub(now), GiveUpIn: job.GiveUp.Sub(now), EndsIn: job.Deadline.Sub(now),
		Sources: inputs.sources,
	}
	type outcome struct {
		reply *MakeReply
		err   error
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome, 1)
	go func() {
		reply := &MakeReply{}
		var err error
		if panicked := instance.Guard(func() { err = s.call(callCtx, owner.Address, "Gateway.MakePieces", args, reply) }); panicked != nil {
			instance.LogPanic(s.logger, "makePieces", panicked)
			err = panicked
		}
		outcomes <- outcome{reply: reply, err: err}
	}()
	select {
	case o := <-outcomes:
		if o.err != nil && ctx.Err() != nil {
			s.cancelAtOwner(owner.Address, args.Token)
		}
		if o.err != nil {
			return nil, o.err
		}
		if o.reply.SourcesReleased {
			inputs.claim()
		}
		if n := len(o.reply.Results); n != count {
			return nil, errors.Errorf("%d results for %d pieces", n, count)
		}
		return o.reply.Results, nil
	case <-s.roster.Lost(owner.Name):
		return nil, errOwnerLost
	case <-ctx.Done():
		s.cancelAtOwner(owner.Address, args.Token)
		return nil, context.Cause(ctx)
	}
}

// cancelAtOwner cancels pieces at the owner of their queue, without waiting for the reply.
// If the call is lost, the pieces run in vain.
func (s *Stages) cancelAtOwner(address, token string) {
	go instance.GuardLogged(s.logger, "cancelPieces", func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := s.call(ctx, address, "Gateway.CancelPieces", &CancelRequest{Token: token}, &peer.Empty{}); err != nil {
			s.logger.Debug().Err(err).Msg("cancelling pieces at the owner of their queue failed")
		}
	})
}

// runForPeer runs pieces for another gateway, and may release their inputs meanwhile.
func (s *Stages) runForPeer(args *MakeRequest) MakeReply {
	if args.Count < 0 || args.Count > maxPiecesPerStage {
		return MakeReply{}
	}
	if !args.Force && s.hasMoved(args.Service, time.Now()) {
		return MakeReply{Results: failedResults(args.Count, pieces.FailureHandedOver)}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	instance.Locked(&s.mu, func() { s.peerRuns[args.Token] = cancel })
	defer instance.Locked(&s.mu, func() { delete(s.peerRuns, args.Token) })
	now := time.Now()
	job := pieces.Job{
		Piece: args.Piece, Bytes: args.Bytes, Deferred: args.Yields, Background: args.Background, Domain: args.Domain,
		Due: now.Add(args.DueIn), GiveUp: now.Add(args.GiveUpIn), Deadline: now.Add(args.EndsIn), Pinned: args.Force,
	}
	inputs := &stageInputs{sources: args.Sources}
	if len(inputs.sources) > 0 {
		job.InputsRead = func() { s.releaseRead(inputs) }
	}
	results, err := s.runHere(ctx, args.Service, job, args.Count)
	reply := MakeReply{SourcesReleased: !inputs.claim()}
	if err == nil {
		reply.Results = results
	}
	return reply
}

// releaseRead releases inputs that have been read, if a service that made some of them has no
// room for further results. Otherwise they are kept until the stage ends: its pieces may have
// to be run again.
func (s *Stages) releaseRead(inputs *stageInputs) {
	isShort := func(source Source) bool { return s.estimate(source.Service).ShortOfRoom }
	if !slices.ContainsFunc(inputs.sources, isShort) || !inputs.claim() {
		return
	}
	for _, source := range inputs.sources {
		s.release(source.Service, source.Results)
	}
}

// failedResults returns the results of pieces that all have the failure.
func failedResults(count int, failure dialect.Failure) []pieces.Result {
	results := make([]pieces.Result, count)
	for i := range results {
		results[i].Failure = failure
	}
	return results
}

func (s *Stages) cancel(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.peerRuns[token]; cancel != nil {
		cancel()
	}
}

// release releases results through the owner of the part of the queue that their upstreams are in,
// or directly if that fails.
func (s *Stages) release(service string, results []pieces.Result) {
	owners := s.ownersOf(service)
	produced := make(map[roster.Gateway][]pieces.Result)
	for _, r := range results {
		if r.Handle != "" {
			owner := upstreamOwner(owners, r.Maker)
			produced[owner] = append(produced[owner], r)
		}
	}
	for owner, part := range produced {
		s.releaseAt(owner, service, part)
	}
}

// releaseAt releases results through one owner.
func (s *Stages) releaseAt(owner roster.Gateway, service string, produced []pieces.Result) {
	if owner.Name == s.roster.Self().Name {
		s.dispatcher(service).Release(produced)
		return
	}
	go instance.GuardLogged(s.logger, "releasePieces", func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := s.call(ctx, owner.Address, "Gateway.ReleasePieces", &ReleaseRequest{Service: service, Results: produced}, &peer.Empty{}); err != nil {
			s.dispatcher(service).Release(produced)
		}
	})
}

// estimate returns the estimate for further pieces of the service, in the queue that they would
// be sent to.
func (s *Stages) estimate(service string) pieces.Estimate {
	_, e := s.owner(service, 1)
	return e
}

// owners returns the names of the gateways that get pieces of this one, which learns from
// heartbeats in each period that they live.
func (s *Stages) owners() map[string]bool {
	owners := make(map[string]bool)
	for service := range s.allDispatchers() {
		for _, g := range s.candidates(service) {
			owners[g.Name] = true
		}
	}
	for _, name := range s.rollouts.deciders() {
		owners[name] = true
	}
	return owners
}

func (s *Stages) setEstimates(gateway string, estimates map[string]pieces.Estimate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerEstimates[gateway] = estimates
}

// Estimates returns the estimates of the queues that this gateway owns, by service.
func (s *Stages) Estimates() map[string]pieces.Estimate {
	estimates := make(map[string]pieces.Estimate)
	for service, d := range s.allDispatchers() {
		if s.isOwner(service) {
			estimates[service] = d.Estimate()
		}
	}
	return estimates
}
