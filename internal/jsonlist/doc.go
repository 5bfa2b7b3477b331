// Package jsonlist splits a JSON object that has a list into the list's elements and the
// object's other members, without decoding them.
//
// Unlike encoding/json it has no bound on the nesting, and an element whose bytes aren't JSON
// doesn't hide the elements beside it. It is for lists whose elements have several writers. It
// is slower than encoding/json, so it serves as the fallback of a decoder that failed.
//
// # Usage
//
//	elements, others, err := jsonlist.Split(b, "items", "metadata", "specification")
//	for _, e := range elements {
//		members := jsonlist.Members(e) // those up to the first malformed one
//	}
//	_ = json.Unmarshal(others["revision"], &revision)
package jsonlist
