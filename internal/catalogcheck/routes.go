package catalogcheck

import (
	"fmt"
	"net"
	"strings"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

func (c *checker) checkRoutes() {
	if len(c.cfg.Routes) == 0 {
		c.fail(RuleWithoutRoutes, "", "routes", "is empty; every request gets 404")
	}
	needsKey, hasKey := len(c.cfg.Organisations) > 0, hasAnyKey(c.cfg.Organisations)
	first := make(map[matchKey]int)
	names := make(map[string]bool)
	for i := range c.cfg.Routes {
		r := &c.cfg.Routes[i]
		path, subject := fmt.Sprintf("routes[%d]", i), routeSubject(r)
		if j, ok := first[keyOf(r)]; ok {
			c.fail(RuleHiddenRoute, subject, path, "never matches: route %d has the same host and path prefix", j)
		} else {
			first[keyOf(r)] = i
		}
		if names[r.Name] {
			c.warn(RuleDuplicateName, subject, path+".name", "is the name of an earlier route too")
		}
		names[r.Name] = true
		if needsKey && !hasKey && !r.Public {
			c.fail(RuleUnreachable, subject, path+".public", "is false, and no organisation has a key: every request gets 401")
		}
		c.checkMatch(r, path, subject)
		c.checkTargets(r, path, subject)
		c.checkTimes(r, path, subject)
		c.checkStages(r, path, subject)
	}
}

// matchKey is equal for two routes that match the same requests.
type matchKey struct{ host, pathPrefix string }

func keyOf(r *catalog.Route) matchKey {
	return matchKey{host: strings.ToLower(r.Host), pathPrefix: r.PathPrefix}
}

func hasAnyKey(organisations []catalog.Organisation) bool {
	for _, o := range organisations {
		for _, key := range o.Keys {
			if key != "" {
				return true
			}
		}
	}
	return false
}

func (c *checker) checkMatch(r *catalog.Route, path, subject string) {
	_, _, splitErr := net.SplitHostPort(r.Host)
	switch {
	case r.Host == "":
		c.fail(RuleHost, subject, path+".host", "is empty; no request names it")
	case strings.ContainsAny(r.Host, "/ \t*"):
		c.fail(RuleHost, subject, path+".host", "is %q, which is no host name; it never matches", r.Host)
	case splitErr == nil:
		c.fail(RuleHost, subject, path+".host", "is %q; requests are matched without the port", r.Host)
	}
	switch {
	case !strings.HasPrefix(r.PathPrefix, "/"):
		c.fail(RulePathPrefix, subject, path+".pathPrefix", "is %q; no path begins so, as it must begin with a slash", r.PathPrefix)
	case !strings.HasSuffix(r.PathPrefix, "/"):
		c.warn(RulePathPrefix, subject, path+".pathPrefix", "is %q; without a slash at its end it also matches longer names", r.PathPrefix)
	}
}

func (c *checker) checkTargets(r *catalog.Route, path, subject string) {
	total := 0.0
	for i, t := range r.Targets {
		targetPath := fmt.Sprintf("%s.targets[%d].service", path, i)
		if !isSplit(r) {
			targetPath = path + ".service"
		}
		if c.services[t.Service] == nil {
			c.fail(RuleUnknownService, subject, targetPath, "names the unknown service %q; its requests are refused", t.Service)
		}
		weightPath := fmt.Sprintf("%s.targets[%d].weight", path, i)
		switch {
		case t.Weight < 0:
			c.fail(RuleWeight, subject, weightPath, "is %g", t.Weight)
		case t.Weight == 0:
			c.warn(RuleWeight, subject, weightPath, "is 0; service %s gets no requests", t.Service)
		}
		total += max(t.Weight, 0)
	}
	if total == 0 {
		c.fail(RuleWeight, subject, path+".targets", "has no weight above 0; gateways would send everything to the last service")
	}
}

// isSplit reports whether the route lists services with weights. A single service has the weight 1.
func isSplit(r *catalog.Route) bool { return len(r.Targets) != 1 || r.Targets[0].Weight != 1 }

func (c *checker) checkTimes(r *catalog.Route, path, subject string) {
	switch {
	case r.Timeout < 0:
		c.fail(RuleNegative, subject, path+".timeout", "is %v; every request is too late", r.Timeout)
	case r.Timeout == 0:
		c.warn(RuleLimit, subject, path+".timeout", "is 0; requests take as long as their callers wait")
	case r.Objective > r.Timeout:
		c.warn(RuleObjective, subject, path+".objective", "is %v, over the route's time-out of %v", r.Objective, r.Timeout)
	}
	if r.Objective < 0 {
		c.fail(RuleNegative, subject, path+".objective", "is %v", r.Objective)
	}
	if r.Kind == catalog.KindStreaming && r.GapObjective <= 0 {
		c.warn(RuleGapObjective, subject, path+".gapObjective", "is %v; a stream needs the longest pause between its events", r.GapObjective)
	}
	mayRepeat := r.Kind == catalog.KindSafe || r.Kind == catalog.KindStreaming && r.Resumable
	if r.Attempts > 1 && !mayRepeat {
		c.warn(RuleAttempts, subject, path+".attempts", "is %d, but requests of kind %s run at most once", r.Attempts, kindName(r.Kind))
	}
	if r.Attempts < 0 {
		c.fail(RuleNegative, subject, path+".attempts", "is %d", r.Attempts)
	}
}

func (c *checker) checkStages(r *catalog.Route, path, subject string) {
	// ends[i] is the earliest time at which one piece of stage i can be complete.
	ends := make([]time.Duration, len(r.Stages))
	longest, isSound, isReported := time.Duration(0), true, false
	for i, s := range r.Stages {
		stagePath := fmt.Sprintf("%s.stages[%d]", path, i)
		start := time.Duration(0)
		for k, dependency := range s.After {
			if dependency < 0 || dependency >= i {
				c.fail(RuleStageOrder, subject, fmt.Sprintf("%s.after[%d]", stagePath, k), "is %d, but a stage may only need those before it", dependency)
				isSound = false
				continue
			}
			start = max(start, ends[dependency])
		}
		batch := c.stageBatch(s, stagePath, subject)
		if batch == nil {
			isSound = false
			continue
		}
		c.checkResults(s, batch, stagePath, subject)
		work := batch.CallTime + batch.PieceTime
		if r.Timeout > 0 && work > r.Timeout {
			c.fail(RuleStageTime, subject, stagePath, "takes %v for one piece, over the route's time-out of %v", work, r.Timeout)
			isReported = true
		}
		ends[i] = start + work
		longest = max(longest, ends[i])
	}
	switch {
	case !isSound || isReported:
	case r.Timeout > 0 && longest > r.Timeout:
		c.fail(RuleStageTime, subject, path+".timeout", "is %v, but the stages take %v for one piece each", r.Timeout, longest)
	case r.Objective > 0 && longest > r.Objective:
		c.warn(RuleStageTime, subject, path+".objective", "is %v, but the stages take %v for one piece each", r.Objective, longest)
	}
}

// stageBatch returns how the stage's service runs pieces, or nil after a finding.
func (c *checker) stageBatch(s catalog.Stage, path, subject string) *catalog.Batch {
	service := c.services[s.Service]
	switch {
	case service == nil:
		c.fail(RuleUnknownService, subject, path+".service", "names the unknown service %q", s.Service)
		return nil
	case service.Batch == nil:
		c.fail(RuleWithoutPieces, subject, path+".service", "names service %q, which doesn't run pieces of stages", s.Service)
		return nil
	}
	return service.Batch
}

// checkResults compares the results of the stage with the memory of an upstream; a capacity of 0
// isn't bounded.
func (c *checker) checkResults(s catalog.Stage, batch *catalog.Batch, path, subject string) {
	capacity := batch.ResultCapacityBytes
	switch {
	case s.ResultBytes < 0:
		c.fail(RuleNegative, subject, path+".resultBytes", "is %d", s.ResultBytes)
	case capacity <= 0:
	case s.ResultBytes > capacity:
		c.fail(RuleResultCapacity, subject, path+".resultBytes", "is %d, over the %d bytes that an upstream of service %s has for results", s.ResultBytes, capacity, s.Service)
	case batch.Size > 0 && s.ResultBytes > capacity/int64(batch.Size):
		c.warn(RuleResultCapacity, subject, path+".resultBytes", "is %d; an upstream of service %s has %d bytes, less than a full call of %d pieces makes", s.ResultBytes, s.Service, capacity, batch.Size)
	}
}

func kindName(kind catalog.Kind) string {
	switch kind {
	case catalog.KindSafe:
		return "safe"
	case catalog.KindStreaming:
		return "streaming"
	}
	return "unsafe"
}
