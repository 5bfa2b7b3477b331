// Package catalogcheck judges a configuration before operators send it, and compares it with
// the version in force.
//
// Check reports what would make gateways refuse callers or ignore a part of the configuration
// (SeverityError), and what has no effect or contradicts something else (SeverityWarning).
// Compare lists what differs between two versions, ordered by what callers notice. Both follow
// what gateways do: the longest prefix of a host wins, of identical ones the first; of equal
// service names and keys the last.
//
// Places are paths into the configuration in the words of package catalog, such as
// routes[0].stages[1].resultBytes. An adapter translates them into the words of its platform.
// Keys are secrets and are never part of a text. The package does no input or output.
//
// # Usage
//
//	findings := catalogcheck.Check(&next)
//	findings = append(findings, catalogcheck.CheckSuccessor(&current, &next)...)
//	for _, change := range catalogcheck.Compare(&current, &next) { ... }
package catalogcheck
