package catalogcheck

import (
	"fmt"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
)

// Severity tells whether a configuration may be sent.
type Severity string

// Severities.
const (
	// SeverityError means that callers will be refused, or that gateways can't use the entry.
	SeverityError Severity = "error"
	// SeverityWarning means that the entry has no effect or contradicts another one.
	SeverityWarning Severity = "warning"
)

// Rule is the stable name of what a finding is about.
type Rule string

// Rules.
const (
	RuleAttempts        Rule = "attempts"
	RuleBatchCapacity   Rule = "batchCapacity"
	RuleDuplicateKey    Rule = "duplicateKey"
	RuleDuplicateName   Rule = "duplicateName"
	RuleEmptyKey        Rule = "emptyKey"
	RuleFormat          Rule = "format"
	RuleGapObjective    Rule = "gapObjective"
	RuleHiddenRoute     Rule = "hiddenRoute"
	RuleHost            Rule = "host"
	RuleLimit           Rule = "limit"
	RuleNegative        Rule = "negative"
	RuleNoKeys          Rule = "noKeys"
	RuleObjective       Rule = "objective"
	RulePathPrefix      Rule = "pathPrefix"
	RuleResultCapacity  Rule = "resultCapacity"
	RuleStageOrder      Rule = "stageOrder"
	RuleStageTime       Rule = "stageTime"
	RuleUnknownService  Rule = "unknownService"
	RuleUnreachable     Rule = "unreachable"
	RuleVersion         Rule = "version"
	RuleWeight          Rule = "weight"
	RuleWithoutPieces   Rule = "withoutPieces"
	RuleWithoutRoutes   Rule = "withoutRoutes"
	RuleWithoutServices Rule = "withoutServices"
)

// Finding is something wrong with a configuration.
type Finding struct {
	Severity Severity
	Rule     Rule
	// Path is the place, in the words of package catalog.
	Path string
	// Subject names the route, service or organisation; it is empty for the others.
	Subject string
	Reason  string
}

func routeSubject(r *catalog.Route) string {
	return fmt.Sprintf("route %s (%s%s)", r.Name, r.Host, r.PathPrefix)
}

func serviceSubject(name string) string { return "service " + name }

func organisationSubject(name string) string { return "organisation " + name }
