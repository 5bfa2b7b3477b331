// Package pipeline values the requests of a route by their size, for bursts beyond the
// capacity of its stages.
//
// Every request of a route takes the same stage time, whatever the size of its prompt and
// its output, so the number of requests that miss their objective in a burst is fixed, and
// only which ones miss it can be chosen. The size costs the stages nothing, but makes a
// request more valuable: it measures the engine's work for it. A small request counts as
// meeting its objective only if it is expected to end earlier by a reserve. One that isn't
// lets larger ones run first, but may still meet its objective.
//
// # Usage
//
//	sizes := pipeline.NewRouteSizes()
//	value := sizes.Value(route.Name, promptTokens, outputTokens)
//	meetsObjective := expected+pipeline.Reserve(value, slack) <= objective
package pipeline
