// Package pipeline values the requests of a route by their size, for bursts beyond the
// capacity of its stages.
//
// Every request of a route takes the same stage time, whatever the size of its prompt and
// its output, so the number of requests that miss their objective in a burst is fixed, and
// only which ones miss it can be chosen. Small requests must keep a reserve, so that larger
// ones run first, but may still meet their objective.
//
// # Usage
//
//	sizes := pipeline.NewRouteSizes()
//	value := sizes.Value(route.Name, promptTokens, outputTokens)
//	meetsObjective := expected+pipeline.Reserve(value, spare) <= objective
package pipeline
