// Package placement selects the upstream that a request is sent to.
//
// A Table is pure state without input and output. It selects the upstream of a service
// with the lowest cost, a weighted sum in milliseconds of the work in progress there, the
// uncached part of the prompt, the transfer of the request's inputs, and recent delays
// and failures. Upstreams that can't be reached are in exponential
// back-off; cold ones get no more than their rate, which all gateways share.
//
// # Usage
//
//	t := placement.New(judge, share)
//	choice, err := t.Pick(time.Now(), service, members, placement.Request{...})
//	choice.FirstByte(time.Now())
//	choice.Done(time.Now(), placement.Answered)
package placement
