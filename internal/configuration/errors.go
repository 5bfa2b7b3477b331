package configuration

import (
	"fmt"

	"github.com/pkg/errors"
)

// ConflictError is returned for a commit that failed because another one was accepted first.
type ConflictError struct {
	// Base is the generation on which the commit was based.
	Base uint64
	// Current is the generation in the store, or 0 if there is none or it is unknown.
	Current uint64
}

// Error returns a text with both generations.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the configuration has changed: the commit is based on generation %d, the current one is %d", e.Base, e.Current)
}

// IsConflict reports whether a commit failed because its base was out of date.
func IsConflict(err error) bool {
	var e *ConflictError
	return errors.As(err, &e)
}

// UnresolvedError is returned if the store did not respond in time, so that the commit
// may be in force or come into force later.
type UnresolvedError struct {
	// Operation is the id in the head if the commit was accepted.
	Operation string
	// Generation is that of the commit if it was accepted.
	Generation uint64
	Cause      error
}

// Error returns a text with the generation, the operation and the cause.
func (e *UnresolvedError) Error() string {
	return fmt.Sprintf("it is unknown whether generation %d (operation %s) was accepted: %v", e.Generation, e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnresolvedError) Unwrap() error { return e.Cause }

// NotWrittenError is returned if the head was not written, so the commit is not in force.
type NotWrittenError struct {
	Cause error
}

// Error returns a text with the cause.
func (e *NotWrittenError) Error() string {
	return fmt.Sprintf("the configuration was not changed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NotWrittenError) Unwrap() error { return e.Cause }

// SizeError is returned if a head or a section is larger than allowed.
type SizeError struct {
	Name string
	// Size and Limit are in bytes, or numbers of elements if Name is a list.
	Size  int
	Limit int
}

// Error returns a text with the object, its size and the limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s has size %d, the maximum is %d (bytes, or elements of a list)", e.Name, e.Size, e.Limit)
}

// MissingSectionsError lists the hashes of sections of a head that were neither held nor
// supplied.
type MissingSectionsError struct {
	Hashes []string
}

// Error returns a text with the number of missing sections and the first of them.
func (e *MissingSectionsError) Error() string {
	return fmt.Sprintf("%d sections are missing, the first is %s", len(e.Hashes), e.Hashes[0])
}

// errSwept is returned if a sweep has written the head, so a commit must start again.
var errSwept = errors.New("the head was written by a sweep")

// FormatError is returned for a malformed head or section that was stored or received,
// and for a head that contradicts the one in force.
type FormatError struct {
	Name   string
	Reason string
}

// Error returns a text with the object and the reason.
func (e *FormatError) Error() string { return fmt.Sprintf("%s is invalid: %s", e.Name, e.Reason) }
