// Package store is a stand-in for the platform's object API, for tests and the
// demonstration. It stores all objects in memory.
//
// It serves the subset of the Kubernetes API conventions that package platform uses:
// get, list, create, conditional update and delete, and watch with bookmarks; 409
// with reason Conflict or AlreadyExists, 410 when a watch starts before the bounded
// event history, and 413 for values over 1 MB. It counts calls by kind and verb; a
// watch counts as one call.
//
// # Usage
//
//	server := store.New(store.Config{Seed: 1})
//	hc, stop := store.Pipe(server) // in-memory connections, or http.Serve(listener, server)
//	defer stop()
//	client := platform.New(platform.Config{BaseURL: store.PipeURL, Namespace: "test"}, hc, scope)
//	server.SetFaults(store.Faults{Down: true})
//
// The admin path does the same over HTTP:
//
//	PUT /admin/faults {"down":false,"delayMs":200,"loseProbability":0.1,"loseNextWrites":0}
//	GET /admin/faults
//	GET /admin/counters    {"claims":{"get":1,"update":2}}
//	DELETE /admin/counters
package store
