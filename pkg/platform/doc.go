// Package platform is a typed client of the platform's object API, the only
// durable store of the system.
//
// The protocol follows the Kubernetes API conventions (see "Kubernetes API
// Concepts" and "API Conventions" of the Kubernetes documentation): objects live
// at /apis/bergamotrudder.example/v1/namespaces/{namespace}/{plural}/{name} and
// carry metadata.resourceVersion; an update or delete is conditional on it and
// fails with status 409 and reason Conflict; a create of an existing object fails
// with 409 and AlreadyExists. A watch is a response of one JSON event a line,
// with bookmarks, and fails with 410 Gone when its resourceVersion is no longer
// in the event history; the client then lists again.
//
// Each call belongs to a share with a rate limit of its own, so that housekeeping
// can't starve claims or the configuration. Each call but a watch is bounded by
// Config.CallTimeout. Calls are counted by kind, verb and result in the metric
// platformCalls.
//
// # Usage
//
//	client := platform.New(platform.Config{BaseURL: url, Namespace: "prod"}, http.DefaultClient, scope)
//	obj, err := client.Get(ctx, platform.ShareConfiguration, platform.KindConfiguration, "active")
//	obj.Spec = spec
//	obj, err = client.Update(ctx, platform.ShareConfiguration, obj)
//	switch {
//	case platform.IsConflict(err): // someone else changed the object
//	case platform.IsNotSent(err): // certainly no effect
//	case platform.IsAmbiguous(err): // may have taken effect, now or later: read back
//	}
//
// A Reflector keeps a local copy of one kind.
package platform
