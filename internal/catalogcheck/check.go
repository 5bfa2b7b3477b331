package catalogcheck

import (
	"cmp"
	"fmt"
	"slices"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

// checker collects the findings of one configuration.
type checker struct {
	cfg      *catalog.Configuration
	services map[string]*catalog.Service
	findings []Finding
}

// Check returns what is wrong with the configuration, errors first.
func Check(cfg *catalog.Configuration) []Finding {
	c := &checker{cfg: cfg, services: make(map[string]*catalog.Service)}
	for i := range cfg.Services {
		c.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	c.checkRoutes()
	c.checkServices()
	c.checkOrganisations()
	c.checkLimits()
	slices.SortStableFunc(c.findings, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	return c.findings
}

// CheckSuccessor returns what keeps the next configuration from replacing the current one.
func CheckSuccessor(current, next *catalog.Configuration) []Finding {
	if next.Version > current.Version || next.Version == current.Version && len(Compare(current, next)) == 0 {
		return nil
	}
	reason := fmt.Sprintf("is %d, but version %d is in force; gateways ignore a version that isn't higher", next.Version, current.Version)
	return []Finding{{Severity: SeverityError, Rule: RuleVersion, Path: "version", Reason: reason}}
}

func (c *checker) add(severity Severity, rule Rule, subject, path, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: severity, Rule: rule, Path: path, Subject: subject, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) fail(rule Rule, subject, path, format string, args ...any) {
	c.add(SeverityError, rule, subject, path, format, args...)
}

func (c *checker) warn(rule Rule, subject, path, format string, args ...any) {
	c.add(SeverityWarning, rule, subject, path, format, args...)
}

func (c *checker) checkServices() {
	if len(c.cfg.Services) == 0 {
		c.fail(RuleWithoutServices, "", "services", "is empty; every request is refused")
	}
	first := make(map[string]int)
	for i, s := range c.cfg.Services {
		path, subject := fmt.Sprintf("services[%d]", i), serviceSubject(s.Name)
		if j, ok := first[s.Name]; ok {
			c.fail(RuleDuplicateName, subject, path+".name", "is also the name of service %d; gateways use the last one", j)
		} else {
			first[s.Name] = i
		}
		if s.Batch != nil && (s.Batch.Slots < 1 || s.Batch.Size < 1) {
			c.fail(RuleBatchCapacity, subject, path+".batch", "allows %d calls of %d pieces; both must be 1 or more", s.Batch.Slots, s.Batch.Size)
		}
		if s.MaxConnections < 0 {
			c.fail(RuleNegative, subject, path+".maxConnections", "is %d", s.MaxConnections)
		}
	}
}

func (c *checker) checkOrganisations() {
	owners := make(map[string]string)
	seen := make(map[string]bool)
	for i, o := range c.cfg.Organisations {
		path, subject := fmt.Sprintf("organisations[%d]", i), organisationSubject(o.Name)
		if seen[o.Name] {
			c.warn(RuleDuplicateName, subject, path+".name", "is the name of an earlier organisation too")
		}
		seen[o.Name] = true
		if len(o.Keys) == 0 {
			c.warn(RuleNoKeys, subject, path+".keys", "is empty; no caller can act for the organisation")
		}
		for k, key := range o.Keys {
			keyPath := fmt.Sprintf("%s.keys[%d]", path, k)
			if key == "" {
				c.fail(RuleEmptyKey, subject, keyPath, "is empty; requests without a key would belong to the organisation")
				continue
			}
			if owner, ok := owners[key]; ok && owner != o.Name {
				c.fail(RuleDuplicateKey, subject, keyPath, "is also a key of organisation %s, whose callers would act for this one", owner)
			}
			owners[key] = o.Name
		}
	}
}

func (c *checker) checkLimits() {
	l := c.cfg.Limits
	for _, limit := range []struct {
		path  string
		value int64
	}{
		{"limits.headerBytes", int64(l.HeaderBytes)},
		{"limits.bodyBytes", l.BodyBytes},
		{"limits.headerTimeout", int64(l.HeaderTimeout)},
		{"limits.idleTimeout", int64(l.IdleTimeout)},
	} {
		switch {
		case limit.value < 0:
			c.fail(RuleNegative, "", limit.path, "is negative")
		case limit.value == 0:
			c.warn(RuleLimit, "", limit.path, "is 0, which doesn't forbid anything: gateways use their own limit, or none")
		}
	}
}
