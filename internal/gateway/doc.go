// Package gateway is a reverse proxy for callers of upstreams that have no sidecar.
//
// A Gateway matches a request to a route by host and path, authenticates the caller, runs
// the stages of the route, sends the request to one upstream and streams the response back
// unchanged. It tracks for each request whether an upstream may have run it: one that may
// have run is retried only if its route is idempotent, and is never answered with a
// status that means that it has not run. Requests that can't be served before their
// deadline are refused at once.
//
// The gateway reads the deployment from a catalog.Catalog, which a CatalogSyncer keeps in
// sync with the platform's store.
//
// # Usage
//
//	g := gateway.New(gateway.Config{FailureDomain: "a"}, d, cat, pool, table, stages, budgets, logger, scope)
//	http.Serve(listener, g)
package gateway
