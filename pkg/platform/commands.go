package platform

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// objectReplyBytes includes 64 KiB for the metadata that the platform adds.
const objectReplyBytes = MaxObjectBytes + 64<<10

// Create adds the object and returns it with its resourceVersion. IsAlreadyExists is
// true of the error if an object of that name exists.
func (c *Client) Create(ctx context.Context, share Share, obj Object) (Object, error) {
	obj.ResourceVersion = ""
	k := call{share: share, verb: "create", method: http.MethodPost, kind: obj.Kind, body: c.wire.Encode(obj), limit: objectReplyBytes}
	return c.write(ctx, k, obj)
}

// Update replaces the object if its resourceVersion is still obj.ResourceVersion, and
// returns it with the new one. IsConflict is true of the error if the version differs.
func (c *Client) Update(ctx context.Context, share Share, obj Object) (Object, error) {
	if obj.ResourceVersion == "" {
		// The platform treats an update without resourceVersion as unconditional.
		return Object{}, &NotSentError{Share: share, Cause: errors.Errorf("update of %s/%s without resourceVersion", obj.Kind, obj.Name)}
	}
	k := call{share: share, verb: "update", method: http.MethodPut, kind: obj.Kind, name: obj.Name, body: c.wire.Encode(obj), limit: objectReplyBytes}
	return c.write(ctx, k, obj)
}

// UpdateStatus replaces the status of the object if its resourceVersion is still
// obj.ResourceVersion, and returns the object with the new one. IsConflict is true of the error
// if the version differs.
func (c *Client) UpdateStatus(ctx context.Context, share Share, obj Object) (Object, error) {
	if obj.ResourceVersion == "" || c.wire.StatusPath == nil {
		return Object{}, &NotSentError{Share: share, Cause: errors.Errorf("update of the status of %s/%s without resourceVersion, or of an API without statuses", obj.Kind, obj.Name)}
	}
	k := call{share: share, verb: "updateStatus", method: http.MethodPut, kind: obj.Kind, name: obj.Name, isStatus: true, body: c.wire.EncodeStatus(obj), limit: objectReplyBytes}
	return c.object(ctx, k, obj.Name)
}

func (c *Client) write(ctx context.Context, k call, obj Object) (Object, error) {
	return c.object(ctx, k, obj.Name)
}

// object sends a call whose reply is the named object.
func (c *Client) object(ctx context.Context, k call, name string) (Object, error) {
	var obj Object
	epoch, err := c.do(ctx, k, func(b []byte) (err error) {
		obj, err = c.wire.DecodeObject(k.kind, b)
		return err
	})
	if err != nil {
		return Object{}, err
	}
	if obj.Name != name || obj.ResourceVersion == "" {
		return Object{}, &AmbiguousError{Verb: k.verb, Cause: errors.Errorf("reply contains object %q at resourceVersion %q", obj.Name, obj.ResourceVersion)}
	}
	obj.Epoch = epoch
	return obj, nil
}

type deleteOptions struct {
	APIVersion    string        `json:"apiVersion"`
	Kind          string        `json:"kind"`
	Preconditions preconditions `json:"preconditions"`
}

type preconditions struct {
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// Delete removes the object if its resourceVersion is still the given one; an empty
// resourceVersion removes it at any version.
func (c *Client) Delete(ctx context.Context, share Share, kind Kind, name, resourceVersion string) error {
	query, body := c.wire.Delete(resourceVersion)
	k := call{share: share, verb: "delete", method: http.MethodDelete, kind: kind, name: name, query: query, body: body, limit: objectReplyBytes}
	_, err := c.do(ctx, k, nil)
	return err
}
