// Package engines models model engines by the answers that a gateway got from them.
//
// A Service has the figures that the engines of one service share: the time to the first
// event of a request without any prompt, the time of reading a prompt token, and the usual
// pace of events. An Engine is one start of an upstream. It has a slowness, the ratio of its
// times to those of the service, which is learnt from the pace of the events that it sends.
// The pace doesn't depend on what an engine has cached or what other gateways sent there, so
// a single answer shows it.
//
// Figures are bounded and they age: without new answers a slowness returns to 1, so that an
// engine that was slow is tried again, and a new start of an upstream begins there. A Service
// begins at the figures of a usual engine. The types are pure state without input and output,
// and are not safe for concurrent use.
//
// # Usage
//
//	s := engines.NewService()
//	e := s.NewEngine()
//	ms := e.FirstEventMs(now, tokens)
//	e.RecordFirstEvent(now, tokens, elapsedMs)
//	e.RecordPace(now, gapMs)
package engines
