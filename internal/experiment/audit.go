package experiment

import (
	"bergamotrudder.example/bergamotrudder/internal/load"
	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
)

// audit compares each request to a pipeline that is not idempotent with the executions at
// the upstreams and counts the violations.
func audit(t Topology, outcomes []outcome, records map[string][]upstream.Record, m map[string]float64) error {
	for _, metric := range []string{MetricDoubled, MetricLost, MetricRanNotStarted, MetricMisdelivered, MetricBookingsUnknown} {
		m[metric] = 0
	}
	for _, stage := range t.Stages {
		if stage.Idempotent {
			continue
		}
		ran := effectiveRuns(records[stage.Name])
		for _, o := range outcomes {
			digest, ok, err := bookingDigest(t, o, stage.Name)
			if err != nil {
				return err
			}
			if ok {
				countViolations(o.Outcome, ran[digest], m)
				delete(ran, digest)
			}
		}
		for _, n := range ran {
			m[MetricMisdelivered] += float64(n)
		}
	}
	return nil
}

func countViolations(o load.Outcome, ran int, m map[string]float64) {
	switch {
	case ran > 1:
		m[MetricDoubled]++
	case ran == 0 && (o == load.Completed || o == load.CompletedNoAnswer || o == load.WrongAnswer):
		m[MetricLost]++
	}
	if o == load.NotStarted && ran > 0 {
		m[MetricRanNotStarted]++
	}
	if o == load.Unknown {
		m[MetricBookingsUnknown]++
	}
}

// effectiveRuns counts the runs that were not aborted, by the digest of their input.
func effectiveRuns(records []upstream.Record) map[string]int {
	ran := make(map[string]int)
	for _, r := range records {
		if r.State != upstream.RecordAborted {
			ran[r.Digest]++
		}
	}
	return ran
}

// bookingDigest returns the digest of the correct input of the last stage of the request's
// pipeline, if that is the stage with the name.
func bookingDigest(t Topology, o outcome, stage string) (string, bool, error) {
	for _, p := range t.Pipelines {
		if p.Name != o.Pipeline || p.Steps[len(p.Steps)-1].Stage != stage {
			continue
		}
		last, err := t.ExpectedPipeline(p).LastStageInput(o.Input, 0)
		if err != nil {
			return "", false, err
		}
		return upstream.Digest(last), true, nil
	}
	return "", false, nil
}
