// Package catalog holds what a gateway believes of its deployment: the operators'
// configuration with its routes, services and organisations, the upstreams that
// registered themselves, and the failure domains that are out of service.
//
// A Catalog is fed with whole lists and single changes, each with the version of the
// store that it came from, and hands out immutable Views. A configuration never goes
// back to a lower version within one start of the process. The package decides
// nothing on requests and does no input or output.
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
