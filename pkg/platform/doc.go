// Package platform is a typed client of the platform's object API, which is the only
// durable store of the system.
//
// The protocol follows the Kubernetes API conventions (see "Kubernetes API
// Concepts" and "API Conventions" of the Kubernetes documentation): objects live
// at /apis/bergamotrudder.example/v1/namespaces/{namespace}/{plural}/{name} and
// carry metadata.resourceVersion; an update or delete is conditional on it and
// fails with status 409 and reason Conflict; a create of an existing object fails
// with 409 and AlreadyExists. A watch is a response with one JSON event per line,
// including bookmarks, and fails with 410 Gone when its resourceVersion is no longer
// in the event history; the client then lists again.
//
// Each call belongs to a share with a separate rate limit, so that housekeeping can't
// starve claims or the configuration. Config.CallTimeout limits each call; for a streamed
// watch it limits the time until the response begins, and a long poll has the long-poll
// time in addition. The metric platformCalls counts calls by kind, verb, share and result.
//
// # Usage
//
//	client := platform.New(platform.Config{BaseURL: url, Namespace: "prod"}, http.DefaultClient, scope)
//	obj, err := client.Get(ctx, platform.ShareConfiguration, platform.KindConfiguration, "active")
//	obj.Spec = spec
//	obj, err = client.Update(ctx, platform.ShareConfiguration, obj)
//	switch {
//	case platform.IsConflict(err): // another writer has changed the object
//	case platform.IsNotSent(err): // certainly no effect
//	case platform.IsAmbiguous(err): // may take effect, now or later: read the object back
//	}
//
// A Reflector keeps a local copy of one kind.
package platform
