// Package catalog holds a gateway's view of its deployment: the operators' configuration
// with its routes, services and organisations, the registered upstreams, and the failure
// domains that are out of service.
//
// A Catalog is updated with whole lists and single changes, each with the store revision
// that it was read at, and publishes immutable Views. The configuration never returns to
// a lower version while the process runs. The package makes no decisions on requests and
// does no input or output.
//
// # Usage
//
//	c := catalog.New()
//	c.SetConfiguration(cfg, revision)
//	c.ReplaceUpstreams(list, revision)
//	v := c.View()
//	route := v.Route(host, path)
//	for _, u := range v.Upstreams(route.Targets[0].Service) { ... }
package catalog
