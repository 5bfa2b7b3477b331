// Package pipeline weighs the requests that go through the stages of a pipeline.
//
// The load pattern that it answers is a burst beyond the capacity of the stages. Each
// request of a route costs the stages the same, whatever the size of its prompt and its
// answer, so that the number of those that are late is given; which ones are late is not.
// Small requests keep a reserve and let others go first, but may still be on time.
//
// # Usage
//
//	sizes := pipeline.NewRouteSizes()
//	value := sizes.Value(route.Name, promptTokens, outputTokens)
//	inTime := expected+pipeline.Reserve(value, spare) <= objective
package pipeline
