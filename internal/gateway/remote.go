package gateway

import (
	"context"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/pieces"
)

// cancelTimeout bounds the message that pieces are no longer needed.
const cancelTimeout = 500 * time.Millisecond

// RemotePiece is a job on its way to the owner of its queue. Times are relative, because
// the clocks of gateways differ.
type RemotePiece struct {
	Piece      dialect.Piece
	Bytes      int64
	DueIn      time.Duration
	GiveUpIn   time.Duration
	EndsIn     time.Duration
	Background bool
	Domain     string
}

// MakeRequest asks the owner of a queue for pieces.
type MakeRequest struct {
	Service string
	// Token names the request in a CancelRequest.
	Token  string
	Pieces []RemotePiece
}

// MakeReply brings the results in order.
type MakeReply struct {
	Results []pieces.Result
}

// CancelRequest gives up the pieces of a MakeRequest.
type CancelRequest struct{ Token string }

// ReleaseRequest drops results.
type ReleaseRequest struct {
	Service string
	Results []pieces.Result
}

// run makes the jobs in the queue of their service, wherever it is. When its owner is
// lost, the jobs go to the next one: a piece may be made again.
func (s *Stages) run(ctx context.Context, service string, jobs []*pieces.Job) ([]pieces.Result, error) {
	for {
		owner := s.roster.Owner(service)
		if owner.Name == s.roster.Self().Name {
			return s.dispatcher(service).Run(ctx, jobs)
		}
		results, err := s.runAt(ctx, owner.Name, owner.Address, service, jobs)
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		if err == nil && !worthOwnTry(results) {
			return results, nil
		}
		if err != nil {
			s.roster.Suspect(owner.Name)
		}
		s.logger.Warn().Err(err).Str(instance.KeyRequest, jobs[0].Piece.ID).Str("service", service).Str("gateway", owner.Name).Int("pieces", len(jobs)).Msg("owner of the queue made no results")
		if s.roster.Owner(service).Name == owner.Name {
			s.release(service, results)
			return s.dispatcher(service).Run(ctx, jobs)
		}
	}
}

// worthOwnTry reports whether another gateway may get what the owner didn't: it may
// reach upstreams that the owner can't reach.
func worthOwnTry(results []pieces.Result) bool {
	for _, r := range results {
		if r.Failure == dialect.FailureWork {
			return true
		}
	}
	return false
}

func (s *Stages) runAt(ctx context.Context, name, address, service string, jobs []*pieces.Job) ([]pieces.Result, error) {
	now := time.Now()
	args := &MakeRequest{Service: service, Token: instance.NewIncarnation(), Pieces: make([]RemotePiece, len(jobs))}
	for i, j := range jobs {
		args.Pieces[i] = RemotePiece{Piece: j.Piece, Bytes: j.Bytes, DueIn: j.Due.Sub(now), GiveUpIn: j.GiveUp.Sub(now), EndsIn: j.Deadline.Sub(now), Background: j.Background, Domain: j.Domain}
	}
	type answer struct {
		reply *MakeReply
		err   error
	}
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan answer, 1)
	go func() {
		reply := &MakeReply{}
		err := s.call(callCtx, address, "Gateway.MakePieces", args, reply)
		answered <- answer{reply: reply, err: err}
	}()
	select {
	case a := <-answered:
		if a.err != nil && ctx.Err() != nil {
			s.cancelAt(address, args.Token)
		}
		if a.err != nil {
			return nil, a.err
		}
		return a.reply.Results, nil
	case <-s.roster.Lost(name):
		return nil, errOwnerLost
	case <-ctx.Done():
		s.cancelAt(address, args.Token)
		return nil, context.Cause(ctx)
	}
}

// cancelAt tells the owner in the background that pieces are no longer needed. If the
// message is lost, the pieces are made in vain.
func (s *Stages) cancelAt(address, token string) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := s.call(ctx, address, "Gateway.CancelPieces", &CancelRequest{Token: token}, &peer.Empty{}); err != nil {
			s.logger.Debug().Err(err).Msg("pieces not given up at their owner")
		}
	}()
}

// makeFor makes pieces for another gateway.
func (s *Stages) makeFor(args *MakeRequest) []pieces.Result {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.mu.Lock()
	s.making[args.Token] = cancel
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.making, args.Token)
	}()
	now := time.Now()
	jobs := make([]*pieces.Job, len(args.Pieces))
	for i, p := range args.Pieces {
		jobs[i] = &pieces.Job{Piece: p.Piece, Bytes: p.Bytes, Due: now.Add(p.DueIn), GiveUp: now.Add(p.GiveUpIn), Deadline: now.Add(p.EndsIn), Background: p.Background, Domain: p.Domain}
	}
	results, err := s.dispatcher(args.Service).Run(ctx, jobs)
	if err != nil {
		return nil
	}
	return results
}

func (s *Stages) cancel(token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.making[token]; cancel != nil {
		cancel()
	}
}

// release drops results through the owner of their queue.
func (s *Stages) release(service string, results []pieces.Result) {
	made := results[:0:0]
	for _, r := range results {
		if r.Handle != "" {
			made = append(made, r)
		}
	}
	if len(made) == 0 {
		return
	}
	owner := s.roster.Owner(service)
	if owner.Name == s.roster.Self().Name {
		s.dispatcher(service).Release(made)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		if err := s.call(ctx, owner.Address, "Gateway.ReleasePieces", &ReleaseRequest{Service: service, Results: made}, &peer.Empty{}); err != nil {
			s.dispatcher(service).Release(made)
		}
	}()
}

// estimate returns what the queue of the service expects of more pieces.
func (s *Stages) estimate(service string) pieces.Estimate {
	owner := s.roster.Owner(service)
	if owner.Name == s.roster.Self().Name {
		return s.dispatcher(service).Estimate()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peerEstimates[owner.Name][service]
}

// owners returns the names of the gateways that own a queue.
func (s *Stages) owners() map[string]bool {
	s.mu.Lock()
	services := make([]string, 0, len(s.dispatchers))
	for service := range s.dispatchers {
		services = append(services, service)
	}
	s.mu.Unlock()
	owners := make(map[string]bool, len(services))
	for _, service := range services {
		owners[s.roster.Owner(service).Name] = true
	}
	return owners
}

func (s *Stages) setEstimates(gateway string, waits map[string]pieces.Estimate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerEstimates[gateway] = waits
}

// Estimates returns what the queues that this gateway owns expect, by service.
func (s *Stages) Estimates() map[string]pieces.Estimate {
	s.mu.Lock()
	dispatchers := make(map[string]*pieces.Dispatcher, len(s.dispatchers))
	for service, d := range s.dispatchers {
		dispatchers[service] = d
	}
	s.mu.Unlock()
	waits := make(map[string]pieces.Estimate, len(dispatchers))
	for service, d := range dispatchers {
		if s.roster.Owner(service).Name == s.roster.Self().Name {
			waits[service] = d.Estimate()
		}
	}
	return waits
}
