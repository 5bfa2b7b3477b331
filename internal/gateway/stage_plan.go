package gateway

import (
	"time"

	"bergamotrudder.example/bergamotrudder/internal/pieces"
	"bergamotrudder.example/bergamotrudder/internal/pipeline"
)

// giveUp is when a piece of the stage that can't be in time stops to wait: early enough for
// the caller to come back, and a little later once stages were done for it.
func (q *request) giveUp(run *stageRun) time.Time {
	share := waitShare
	if len(run.stage.After) > 0 {
		share = laterWaitShare
	}
	return q.started.Add(time.Duration(share * float64(q.firstBy.Sub(q.started))))
}

// pieceDomain returns the failure domain where the pieces of the stage should be made:
// where most bytes of their inputs lie, each of which every piece fetches, or where the
// engine is that needs their results. It is empty if little would have to be moved.
func (q *request) pieceDomain(runs []*stageRun, run *stageRun) string {
	moved := make(map[string]int64)
	for _, before := range run.stage.After {
		for _, r := range runs[before].kept() {
			moved[r.FailureDomain] += runs[before].stage.ResultBytes * int64(run.pieces)
		}
	}
	if out := run.stage.ResultBytes * int64(run.pieces); run.last && out >= largeResult {
		moved[q.g.table.PreferredDomain(time.Now(), q.service, q.g.catalog.View().Upstreams(q.service.Name), q.attrs.Parts)] += out
	}
	domain, most := "", int64(largeResult)
	for d, bytes := range moved {
		if bytes > most || bytes == most && d < domain {
			domain, most = d, bytes
		}
	}
	return domain
}

// due is when the stage must be done for the request to be on time: its objective less
// what the stages after it and the engine are expected to take.
func (q *request) due(stage int) time.Time {
	var after time.Duration
	for i := range q.route.Stages {
		if q.comesAfter(i, stage) && q.attrs.Pieces[i] > 0 {
			after += q.g.stages.estimate(q.route.Stages[i].Service).Wait(q.attrs.Pieces[i])
		}
	}
	return q.started.Add(q.route.Objective - engineTime - after)
}

// comesAfter reports whether the later stage needs the earlier one, also through others.
func (q *request) comesAfter(later, earlier int) bool {
	for _, before := range q.route.Stages[later].After {
		if before == earlier || before < later && q.comesAfter(before, earlier) {
			return true
		}
	}
	return false
}

// admitStages refuses a request whose stages can't be done within its time, puts one that
// can't be on time behind those that can, and one that is worth little behind others.
func (q *request) admitStages() *refusal {
	left := time.Until(q.firstBy)
	inTime := q.stagesTime(pieces.Estimate.Wait) + engineTime
	spare := q.route.Objective - engineTime - q.stagesTime(pieces.Estimate.UnloadedTime)
	reserve := pipeline.Reserve(q.g.sizes.Value(q.route.Name, q.attrs.PromptTokens, q.attrs.OutputTokens), spare)
	isInTime := func(took time.Duration) bool {
		return took <= left && time.Since(q.started)+took <= q.route.Objective
	}
	if isInTime(inTime + reserve) {
		return nil
	}
	if q.yields = isInTime(q.stagesTime(pieces.Estimate.WaitDeferred) + engineTime); q.yields {
		return nil
	}
	q.background = true
	if service := q.behindLateWork(); service != "" {
		return notRun(reasonOverloaded, "late requests already wait at a later stage", q.lateWait(service))
	}
	if late := q.stagesTime(pieces.Estimate.WaitLate) + engineTime; late > left {
		return notRun(reasonOverloaded, "the stages can't be done within the request's time", min(late-left+shortRetry, maxRetry))
	}
	return nil
}

// behindLateWork returns the service of a later stage at which more late pieces wait than
// its upstreams take in one call each, if there is one. What was made for the request
// before would be thrown away there.
func (q *request) behindLateWork() string {
	for i, s := range q.route.Stages {
		if len(s.After) == 0 || q.attrs.Pieces[i] == 0 {
			continue
		}
		if e := q.g.stages.estimate(s.Service); float64(e.Late) > float64(e.Size)*max(1, e.Calls) {
			return s.Service
		}
	}
	return ""
}

// lateWait is when a late caller may come back to the service: when what waits there now
// is done with the part of the service that is left to late work.
func (q *request) lateWait(service string) time.Duration {
	wait := time.Duration(float64(q.g.stages.estimate(service).WaitLate(1)) / lateShare)
	return min(max(wait, shortRetry), max(time.Until(q.deadline)/honouredShare-adviceTransit, shortRetry))
}

// stagesTime is how long all stages are expected to take, by the wait at each.
func (q *request) stagesTime(wait func(pieces.Estimate, int) time.Duration) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(q.route.Stages))
	for i, s := range q.route.Stages {
		for _, before := range s.After {
			if before < i {
				ends[i] = max(ends[i], ends[before])
			}
		}
		if q.attrs.Pieces[i] > 0 {
			ends[i] += wait(q.g.stages.estimate(s.Service), q.attrs.Pieces[i])
		}
		longest = max(longest, ends[i])
	}
	return longest
}
