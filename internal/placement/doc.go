// Package placement chooses the upstream that a request is sent to.
//
// A Table is pure state without input and output. It weighs, for each upstream of a
// service, the expected time until the answer begins: the work in progress there, the
// part of the prompt that it doesn't keep in memory, what it costs to bring the
// request's inputs there, and how it has answered lately. Failing upstreams rest for a
// growing time; cold ones get no more than their rate, which all gateways share.
//
// # Usage
//
//	t := placement.New(gateways)
//	choice, err := t.Pick(time.Now(), service, members, placement.Request{...})
//	choice.FirstByte(time.Now())
//	choice.Done(time.Now(), placement.Answered)
package placement
