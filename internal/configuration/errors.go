package configuration

import (
	"fmt"

	"github.com/pkg/errors"
)

// ConflictError says that a commit is not in force because another one was accepted first.
type ConflictError struct {
	// Base is the generation that the commit was made on.
	Base uint64
	// Current is the generation in the store, or 0 when it has none.
	Current uint64
}

// Error names both generations.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the configuration has changed: the commit is based on generation %d, the current one is %d", e.Base, e.Current)
}

// IsConflict reports whether a commit failed because its base was out of date.
func IsConflict(err error) bool {
	var e *ConflictError
	return errors.As(err, &e)
}

// UnresolvedError says that the store did not answer in time, so that the commit
// may be in force or come into force.
type UnresolvedError struct {
	// Operation is the id that the head carries if the commit was accepted.
	Operation string
	// Generation is the one that the commit has if it was accepted.
	Generation uint64
	Cause      error
}

// Error names the operation and the cause.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("it is unknown whether generation %d (operation %s) was accepted: %v", e.Generation, e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error { return e.Cause }

// NotWrittenError says that the head was not written, so the commit is not in force.
type NotWrittenError struct {
	Cause error
}

// Error names the cause.
func (e *NotWrittenError) Error() string {
	return fmt.Sprintf("the configuration was not changed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotWrittenError) Unwrap() error { return e.Cause }

// SizeError says that a head or a section is larger than allowed.
type SizeError struct {
	Name  string
	Size  int
	Limit int
}

// Error names the object, its size and the limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s is %d, allowed are at most %d", e.Name, e.Size, e.Limit)
}

// MissingSectionsError lists the hashes of sections that a head needs and nobody brought.
type MissingSectionsError struct {
	Hashes []string
}

// Error gives the number and the first of the missing sections.
func (e *MissingSectionsError) Error() string {
	return fmt.Sprintf("%d sections are missing, the first is %s", len(e.Hashes), e.Hashes[0])
}

// errSwept says that the head was written by a sweep, so a commit must start again.
var errSwept = errors.New("the head was written by a sweep")

// FormatError says that a stored or received head or section is malformed.
type FormatError struct {
	Name   string
	Reason string
}

// Error names the object and what is wrong with it.
func (e *FormatError) Error() string { return fmt.Sprintf("%s is malformed: %s", e.Name, e.Reason) }
