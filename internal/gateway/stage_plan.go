package gateway

import (
	"time"

	"bergamotrudder.example/bergamotrudder/internal/pieces"
	"bergamotrudder.example/bergamotrudder/internal/pipeline"
)

// queueDeadline returns the time at which a background piece of the stage leaves the queue:
// early enough for the caller to retry, and a little later once other stages were run for it.
func (q *request) queueDeadline(run *stageRun) time.Time {
	fraction := firstStageWaitFraction
	if len(run.stage.After) > 0 {
		fraction = laterStageWaitFraction
	}
	return q.started.Add(time.Duration(fraction * float64(q.firstByteDeadline.Sub(q.started))))
}

// preferredDomain returns the failure domain where the pieces of the stage should run: the
// one with the most bytes to transfer, and empty if these are not above minLocalityBytes. The
// bytes are those of the inputs there, all of which each piece fetches, plus those of the
// results, if there are at least minLocalityBytes of them and the engine that needs them
// runs there.
func (q *request) preferredDomain(runs []*stageRun, run *stageRun) string {
	bytesByDomain := make(map[string]int64)
	for _, dependency := range run.stage.After {
		for _, r := range runs[dependency].results.peek() {
			bytesByDomain[r.FailureDomain] += runs[dependency].stage.ResultBytes * int64(run.results.pieces)
		}
	}
	if resultBytes := run.stage.ResultBytes * int64(run.results.pieces); run.results.isFinal && resultBytes >= minLocalityBytes {
		bytesByDomain[q.g.table.PreferredDomain(time.Now(), q.service, q.g.catalog.View().Upstreams(q.service.Name), q.attrs.Parts)] += resultBytes
	}
	domain, mostBytes := "", int64(minLocalityBytes)
	for d, bytes := range bytesByDomain {
		if bytes > mostBytes || bytes == mostBytes && d < domain {
			domain, mostBytes = d, bytes
		}
	}
	return domain
}

// due returns when the stage must end for the request to meet its objective: the objective
// minus the expected time of the later stages and of the engine.
func (q *request) due(stage int) time.Time {
	var remaining time.Duration
	for i := range q.route.Stages {
		if q.dependsOn(i, stage) && q.attrs.Pieces[i] > 0 {
			remaining += q.g.stages.estimate(q.route.Stages[i].Service).Wait(q.attrs.Pieces[i])
		}
	}
	return q.started.Add(q.route.Objective - q.engineTime() - remaining)
}

// engineTime returns the expected time from the end of the stages to the first event of the
// response. It is the same throughout the request.
func (q *request) engineTime() time.Duration {
	if q.expectedEngineTime == 0 {
		q.expectedEngineTime = unloadedEngineTime
		if q.service.Engine != nil {
			q.expectedEngineTime = max(q.g.table.EngineTime(q.service.Name, q.attrs.Parts, q.attrs.PromptTokens), minEngineTime)
		}
	}
	return q.expectedEngineTime
}

// dependsOn reports whether the later stage needs results of the earlier one, directly or
// through other stages.
func (q *request) dependsOn(later, earlier int) bool {
	for _, dependency := range q.route.Stages[later].After {
		if dependency == earlier || dependency < later && q.dependsOn(dependency, earlier) {
			return true
		}
	}
	return false
}

// admitStages queues a request in the background if it can't meet its objective, and refuses
// it if its stages can't end before its first-byte deadline there, or if a later stage has a
// backlog of background pieces. It defers a request of low value behind others while it can
// still meet its objective. The value is the size of the request relative to the mean of its
// route. The reserve is how much earlier than its objective a request of low value must be
// expected to end if it isn't to be deferred.
func (q *request) admitStages() *errorResponse {
	left := time.Until(q.firstByteDeadline)
	expected := q.expectedStagesTime(pieces.Estimate.Wait) + q.engineTime()
	slack := q.route.Objective - q.engineTime() - q.expectedStagesTime(pieces.Estimate.UnloadedTime)
	reserve := pipeline.Reserve(q.g.sizes.Value(q.route.Name, q.attrs.PromptTokens, q.attrs.OutputTokens), slack)
	meetsObjective := func(duration time.Duration) bool {
		return duration <= left && time.Since(q.started)+duration <= q.route.Objective
	}
	if meetsObjective(expected + reserve) {
		return q.admitLeaving(expected)
	}
	whenDeferred := q.expectedStagesTime(pieces.Estimate.WaitDeferred) + q.engineTime()
	if q.deferred = meetsObjective(whenDeferred); q.deferred {
		return q.admitLeaving(whenDeferred)
	}
	q.background = true
	if service := q.backgroundBacklog(); service != "" {
		return notExecuted(reasonOverloaded, "requests in the background are already queued at a later stage", q.backgroundRetryAfter(service))
	}
	if inBackground := q.expectedStagesTime(pieces.Estimate.WaitBackground) + q.engineTime(); inBackground > left {
		return notExecuted(reasonOverloaded, "the stages can't be done within the request's time", min(inBackground-left+minRetryAfter, maxRetryAfter))
	}
	return q.admitLeaving(q.expectedStagesTime(pieces.Estimate.WaitBackground) + q.engineTime())
}

// admitLeaving refuses a request whose stages a leaving gateway can't end in time.
func (q *request) admitLeaving(expected time.Duration) *errorResponse {
	if q.g.departure.admits(time.Now(), expected-q.engineTime()) {
		return nil
	}
	return notExecuted(reasonLeaving, "this gateway is shutting down before the stages can end", leavingRetryAfter)
}

// canRerun reports whether the stages can still be done in time if they are begun again.
func (q *request) canRerun() bool {
	now := time.Now()
	rerun := q.expectedStagesTime(pieces.Estimate.UnloadedTime)
	return now.Add(rerun+q.engineTime()).Before(q.firstByteDeadline) && q.g.departure.admits(now, rerun)
}

// backgroundBacklog returns the service of a later stage with more background pieces queued
// than its upstreams take in one call each, or an empty name. The results of earlier stages
// would be discarded there.
func (q *request) backgroundBacklog() string {
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

// backgroundRetryAfter returns the Retry-After value of a request that was refused because of
// the service: the time to run what is queued there now with the fraction of the service that
// is left for background work.
func (q *request) backgroundRetryAfter(service string) time.Duration {
	wait := time.Duration(float64(q.g.stages.estimate(service).WaitBackground(1)) / backgroundServiceFraction)
	return min(max(wait, minRetryAfter), max(time.Until(q.deadline)/retryAfterDivisor-responseTransit, minRetryAfter))
}

// expectedStagesTime returns the expected time of all stages, by the wait at each: the
// longest path through them.
func (q *request) expectedStagesTime(wait func(pieces.Estimate, int) time.Duration) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(q.route.Stages))
	for i, s := range q.route.Stages {
		for _, dependency := range s.After {
			if dependency < i {
				ends[i] = max(ends[i], ends[dependency])
			}
		}
		if q.attrs.Pieces[i] > 0 {
			ends[i] += wait(q.g.stages.estimate(s.Service), q.attrs.Pieces[i])
		}
		longest = max(longest, ends[i])
	}
	return longest
}
