package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/internal/instance"
	"bergamotrudder.example/bergamotrudder/internal/peer"
	"bergamotrudder.example/bergamotrudder/internal/pieces"
)

// cancelTimeout bounds the message that pieces are no longer needed.
const cancelTimeout = 500 * time.Millisecond

// MakeRequest asks the owner of a queue for the pieces of one stage, which differ by
// their index only. Times are relative, because the clocks of gateways differ.
type MakeRequest struct {
	Service string
	// Token names the request in a CancelRequest.
	Token string
	// Piece is the first piece and Count the number of them.
	Piece      dialect.Piece
	Count      int
	Bytes      int64
	DueIn      time.Duration
	GiveUpIn   time.Duration
	EndsIn     time.Duration
	Yields     bool
	Background bool
	Domain     string
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

// run makes so many pieces like the first one in the queue of their service, wherever it
// is. When its owner is lost, the pieces go to the next one: a piece may be made again.
func (s *Stages) run(ctx context.Context, service string, first pieces.Job, count int) ([]pieces.Result, error) {
	for {
		owner := s.roster.Owner(service)
		if owner.Name == s.roster.Self().Name {
			return s.dispatcher(service).Run(ctx, first.Copies(count))
		}
		results, err := s.runAt(ctx, owner.Name, owner.Address, service, first, count)
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		if err == nil && len(results) != count {
			err = errors.Errorf("%d results for %d pieces", len(results), count)
		}
		if err == nil && !worthOwnTry(results) {
			return results, nil
		}
		if err != nil {
			s.roster.MarkLost(owner.Name)
		}
		s.logger.Warn().Err(err).Str(instance.KeyRequest, first.Piece.ID).Str("service", service).Str("gateway", owner.Name).Int("pieces", count).Msg("owner of the queue made no results")
		if s.roster.Owner(service).Name == owner.Name {
			s.release(service, results)
			return s.dispatcher(service).Run(ctx, first.Copies(count))
		}
	}
}

// worthOwnTry reports whether another gateway may get what the owner didn't: it may
// reach upstreams that the owner can't reach.
func worthOwnTry(results []pieces.Result) bool {
	for _, r := range results {
		if r.Failure == dialect.FailureExecution {
			return true
		}
	}
	return false
}

func (s *Stages) runAt(ctx context.Context, name, address, service string, first pieces.Job, count int) ([]pieces.Result, error) {
	now := time.Now()
	args := &MakeRequest{
		Service: service, Token: instance.NewIncarnation(), Piece: first.Piece, Count: count, Bytes: first.Bytes, Yields: first.Deferred, Background: first.Background, Domain: first.Domain,
		DueIn: first.Due.Sub(now), GiveUpIn: first.GiveUp.Sub(now), EndsIn: first.Deadline.Sub(now),
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
	first := pieces.Job{
		Piece: args.Piece, Bytes: args.Bytes, Deferred: args.Yields, Background: args.Background, Domain: args.Domain,
		Due: now.Add(args.DueIn), GiveUp: now.Add(args.GiveUpIn), Deadline: now.Add(args.EndsIn),
	}
	results, err := s.dispatcher(args.Service).Run(ctx, first.Copies(args.Count))
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
