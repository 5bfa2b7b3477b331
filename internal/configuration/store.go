package configuration

import (
	"context"
	"encoding/json"
)

// Object is one stored object.
type Object struct {
	Name string
	// ResourceVersion is the store's version of the object; it is opaque.
	ResourceVersion string
	// Spec is the JSON content.
	Spec json.RawMessage
}

// Store is the part of the platform's object API that the configuration uses. The
// kinds are KindConfigurations and KindSections.
type Store struct {
	Get func(ctx context.Context, kind, name string) (Object, error)
	// Create fails with an error that IsConflict knows when the object exists.
	Create func(ctx context.Context, kind string, obj Object) (Object, error)
	// Update fails with an error that IsConflict knows when the object's
	// ResourceVersion is no longer the given one.
	Update func(ctx context.Context, kind string, obj Object) (Object, error)
	// List returns all objects of the kind.
	List func(ctx context.Context, kind string) ([]Object, error)
	// Delete removes the object if its ResourceVersion is still the given one.
	Delete func(ctx context.Context, kind, name, resourceVersion string) error
	// IsConflict and IsNotFound know the store's definite answers.
	IsConflict func(error) bool
	IsNotFound func(error) bool
	// IsWithoutEffect reports that a write that failed has not and will not take
	// effect: it was not sent, or the store refused it. Every other error of a write
	// counts as one whose effect is unknown.
	IsWithoutEffect func(error) bool
}
