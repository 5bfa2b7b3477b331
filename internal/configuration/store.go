package configuration

import (
	"context"
	"encoding/json"
)

// Object is an object of the store.
type Object struct {
	Name string
	// ResourceVersion is the store's version of the object, which is opaque.
	ResourceVersion string
	// Spec is the JSON content.
	Spec json.RawMessage
}

// Store is the part of the platform's object API that the configuration needs, for
// objects of KindConfigurations and KindSections.
type Store struct {
	Get func(ctx context.Context, kind, name string) (Object, error)
	// Create fails with an error for which IsConflict is true if the object exists.
	Create func(ctx context.Context, kind string, obj Object) (Object, error)
	// Update fails with an error for which IsConflict is true if the stored object no
	// longer has the given ResourceVersion.
	Update func(ctx context.Context, kind string, obj Object) (Object, error)
	// List returns all objects of the kind.
	List func(ctx context.Context, kind string) ([]Object, error)
	// Delete removes the object if it still has the given ResourceVersion.
	Delete func(ctx context.Context, kind, name, resourceVersion string) error
	// IsConflict and IsNotFound report definite responses of the store.
	IsConflict func(error) bool
	IsNotFound func(error) bool
	// IsWithoutEffect reports whether a failed write has not taken effect and will not
	// do so: it was not sent, or the store rejected it. With any other error of a write
	// its effect is unknown.
	IsWithoutEffect func(error) bool
}
