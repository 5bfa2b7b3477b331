// Package gateway serves callers in front of upstreams that have no sidecar.
//
// A Gateway finds a request's route by host and path, checks the caller's key, runs the
// stages that the route names, sends the request to one upstream and passes the answer
// on unchanged and as it comes. It keeps for each attempt what is known of it: a request
// that may have run is never sent again unless its route says that it may be repeated,
// and is never answered with a status that says it has not run. What can't be served in
// its time is refused at once.
//
// What the gateway believes of the deployment is in a catalog.Catalog, which a CatalogSyncer
// keeps up to date from the platform's store.
//
// # Usage
//
//	g := gateway.New(gateway.Config{FailureDomain: "a"}, d, cat, pool, table, stages, budgets, logger, scope)
//	http.Serve(listener, g)
package gateway
