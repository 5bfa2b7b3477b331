package jsonlist

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

const (
	// maxReads bounds what is read in vain of elements that aren't JSON, as a multiple of the text: one
	// may be open, so that the rest of the text belongs to it. Beyond it, an element ends at the latest
	// where the next one seems to begin.
	maxReads = 32
	// readAhead is what is read beyond an error.
	readAhead = 512
)

// errSyntax is returned for a text that isn't an object with a list.
var errSyntax = errors.New("the text is not a JSON object with a list")

// Split returns the elements of the named list of the object in b, and the object's other
// members. The elements are objects whose first key is one of keys. An odd one may hold any
// bytes; if it isn't JSON, or another value than an object, it ends where the next element
// begins. After the last element, the list ends where
// a whole object with at least one more member follows, so that a text that was broken off is an
// error.
func Split(b []byte, list string, keys ...string) (elements []json.RawMessage, others map[string]json.RawMessage, err error) {
	s := &scanner{b: b, keys: keys}
	others = make(map[string]json.RawMessage)
	found := false
	if !s.take('{') {
		return nil, nil, errSyntax
	}
	for {
		key, ok := s.key()
		if !ok {
			return nil, nil, errSyntax
		}
		if key == list && s.peek() == '[' {
			found = true
			if elements, err = s.list(elements); err != nil {
				return nil, nil, err
			}
		} else if others[key], ok = s.value(); !ok {
			return nil, nil, errSyntax
		}
		if s.take(',') {
			continue
		}
		if !found || !s.take('}') || s.peek() != 0 {
			return nil, nil, errSyntax
		}
		return elements, others, nil
	}
}

// Members returns the members of the object in b up to the first malformed one, whose value is
// the rest of b.
func Members(b []byte) map[string]json.RawMessage {
	members := make(map[string]json.RawMessage)
	s := &scanner{b: b}
	for ok := s.take('{'); ok; ok = s.take(',') {
		key, valid := s.key()
		if !valid {
			break
		}
		value, valid := s.value()
		if !valid {
			members[key] = b[s.i:]
			break
		}
		members[key] = value
	}
	return members
}

// scanner reads values from b[i:].
type scanner struct {
	b []byte
	i int
	// keys are the keys with which an element of the list may begin.
	keys []string
	// spent is what was read in vain.
	spent int
}

// peek skips white space and returns the next byte, or 0 at the end.
func (s *scanner) peek() byte {
	for s.i < len(s.b) && bytes.IndexByte([]byte(" \t\r\n"), s.b[s.i]) >= 0 {
		s.i++
	}
	if s.i == len(s.b) {
		return 0
	}
	return s.b[s.i]
}

func (s *scanner) take(c byte) bool {
	if s.peek() != c {
		return false
	}
	s.i++
	return true
}

// key reads the key of a member and its colon.
func (s *scanner) key() (string, bool) {
	var key string
	raw, ok := s.value()
	if !ok || json.Unmarshal(raw, &key) != nil {
		return "", false
	}
	return key, s.take(':')
}

// value reads one value.
func (s *scanner) value() (json.RawMessage, bool) {
	s.peek()
	start := s.i
	dec := json.NewDecoder(bytes.NewReader(s.b[start:]))
	// Numbers that no type can hold are valid JSON.
	dec.UseNumber()
	for depth := 0; ; {
		t, err := dec.Token()
		if err != nil {
			s.i = start
			read := len(s.b) - start
			var syntax *json.SyntaxError
			if errors.As(err, &syntax) {
				read = min(int(dec.InputOffset())+readAhead, read)
			}
			s.spent += read
			return nil, false
		}
		switch t {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			break
		}
	}
	s.i = start + int(dec.InputOffset())
	return s.b[start:s.i], true
}

// list reads a list and appends its elements.
func (s *scanner) list(elements []json.RawMessage) ([]json.RawMessage, error) {
	s.i++
	if s.take(']') {
		return elements, nil
	}
	for {
		s.peek()
		start := s.i
		element, ok := s.element()
		ok = ok && (element[0] == '{' || s.standsAlone(start))
		if ok && s.peek() == ',' {
			s.i++
			elements = append(elements, element)
			continue
		} else if ok && s.peek() == ']' && s.isEnd(s.i+1) {
			s.i++
			return append(elements, element), nil
		}
		if next := s.nextElement(start); next > 0 {
			elements = append(elements, s.b[start:next])
			s.i = next
			continue
		}
		end := bytes.LastIndexByte(s.b, ']')
		if end < start || !s.isEnd(end+1) || (&scanner{b: s.b, i: end + 1}).peek() != ',' {
			return nil, errSyntax
		}
		s.i = end + 1
		return append(elements, s.b[start:end]), nil
	}
}

// element reads an element of the list as value does.
func (s *scanner) element() (json.RawMessage, bool) {
	if s.spent <= maxReads*len(s.b) {
		return s.value()
	}
	next := s.nextElement(s.i)
	if next < 0 {
		return s.value()
	}
	only := &scanner{b: s.b[:next], i: s.i}
	element, ok := only.value()
	s.i = only.i
	return element, ok
}

// standsAlone reports whether an odd element from start to s.i, such as a list, is followed by
// the next element, or by none. Otherwise it may be an open one that has others in it.
func (s *scanner) standsAlone(start int) bool {
	next := s.nextElement(start)
	if next < 0 {
		return s.peek() == ']'
	}
	if s.peek() != ',' {
		return false
	}
	at := &scanner{b: s.b, i: s.i + 1}
	at.peek()
	return at.i == next
}

// nextElement returns where the first element that follows a comma at or after i begins, or -1.
func (s *scanner) nextElement(i int) int {
	for ; i < len(s.b); i++ {
		if s.b[i] != ',' {
			continue
		}
		at := &scanner{b: s.b, i: i + 1}
		at.peek()
		next := at.i
		if !at.take('{') || at.peek() != '"' {
			continue
		}
		for _, key := range s.keys {
			if bytes.HasPrefix(s.b[at.i+1:], []byte(key+`"`)) {
				return next
			}
		}
	}
	return -1
}

// isEnd reports whether only members that are no lists, and the end of the object, follow i.
func (s *scanner) isEnd(i int) bool {
	at := &scanner{b: s.b, i: i}
	for at.take(',') {
		if _, ok := at.key(); !ok || at.peek() == '[' {
			return false
		}
		if _, ok := at.value(); !ok {
			return false
		}
	}
	return at.take('}') && at.peek() == 0
}
