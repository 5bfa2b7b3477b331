// Package eventstream follows the bytes of a text/event-stream without decoding its events
// (WHATWG HTML, section 9.2).
//
// A Scanner counts complete events and reports whether the bytes so far end inside one, which
// shows that a stream was broken off, however its body is framed.
//
// # Usage
//
//	var s eventstream.Scanner
//	s.Add([]byte("id: 1\n\nid: 2\n"))
//	s.Events()   // 1
//	s.IsInside() // true: the blank line that ends the second event is missing
package eventstream
