package platform

import (
	"context"
	"net/http"

	"github.com/pkg/errors"
)

// objectReplyBytes leaves room for the metadata that the platform adds.
const objectReplyBytes = MaxObjectBytes + 64<<10

// Create adds the object and returns it with its resourceVersion. IsAlreadyExists
// tells that an object of the name exists.
func (c *Client) Create(ctx context.Context, share Share, obj Object) (Object, error) {
	obj.ResourceVersion = ""
	k := call{share: share, verb: "create", method: http.MethodPost, kind: obj.Kind, body: obj.wire(c.ns), limit: objectReplyBytes}
	return c.write(ctx, k, obj)
}

// Update replaces the object if its resourceVersion still is obj.ResourceVersion,
// and returns it with the new one. IsConflict tells that it is another one.
func (c *Client) Update(ctx context.Context, share Share, obj Object) (Object, error) {
	if obj.ResourceVersion == "" {
		// The platform takes an update without resourceVersion as unconditional.
		return Object{}, &NotSentError{Share: share, Cause: errors.Errorf("update of %s/%s without resourceVersion", obj.Kind, obj.Name)}
	}
	k := call{share: share, verb: "update", method: http.MethodPut, kind: obj.Kind, name: obj.Name, body: obj.wire(c.ns), limit: objectReplyBytes}
	return c.write(ctx, k, obj)
}

func (c *Client) write(ctx context.Context, k call, obj Object) (Object, error) {
	var reply wireObject
	if err := c.do(ctx, k, &reply); err != nil {
		return Object{}, err
	}
	if reply.Metadata.Name != obj.Name || reply.Metadata.ResourceVersion == "" {
		return Object{}, &AmbiguousError{Verb: k.verb, Cause: errors.Errorf("the reply names object %q at resourceVersion %q", reply.Metadata.Name, reply.Metadata.ResourceVersion)}
	}
	return reply.object(obj.Kind), nil
}

type deleteOptions struct {
	APIVersion    string        `json:"apiVersion"`
	Kind          string        `json:"kind"`
	Preconditions preconditions `json:"preconditions"`
}

type preconditions struct {
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// Delete removes the object if its resourceVersion still is the given one; an
// empty resourceVersion removes any.
func (c *Client) Delete(ctx context.Context, share Share, kind Kind, name, resourceVersion string) error {
	body := deleteOptions{APIVersion: "v1", Kind: "DeleteOptions", Preconditions: preconditions{ResourceVersion: resourceVersion}}
	k := call{share: share, verb: "delete", method: http.MethodDelete, kind: kind, name: name, body: body, limit: objectReplyBytes}
	return c.do(ctx, k, nil)
}
