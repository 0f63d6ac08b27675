package codec

import "bytes"

// Elements returns the elements of the array that a JSON object has under a name at
// its first level, and the object with an empty array in its place. Elements are not
// checked, so that one which cannot be read, for instance since it is nested too
// deeply, does not cost the others. Without such an array, rest is the whole text. An
// array that does not end gives a *SyntaxError.
func Elements(text []byte, name string) (elements [][]byte, rest []byte, err error) {
	s := jsonScanner{text: text}
	start := s.findArray(name)
	if start < 0 {
		return nil, text, nil
	}
	for s.depth >= arrayDepth {
		from := s.offset
		if !s.skipElement() {
			return nil, nil, &SyntaxError{Offset: start, Problem: "array " + name + " is cut off"}
		}
		if element := bytes.TrimSpace(text[from : s.offset-1]); len(element) > 0 {
			elements = append(elements, element)
		}
	}
	rest = append(rest, text[:start]...)
	return elements, append(rest, text[s.offset-1:]...), nil
}

// arrayDepth is the depth of nesting inside an array of the outermost object.
const arrayDepth = 2

// jsonScanner finds the brackets and strings of a JSON text.
type jsonScanner struct {
	text   []byte
	offset int
	depth  int
}

// next returns the next byte outside of strings, and the string that ends there when
// the byte is its closing quote. It reports false at the end of the text.
func (s *jsonScanner) next() (c byte, content []byte, ok bool) {
	if s.offset >= len(s.text) {
		return 0, nil, false
	}
	c = s.text[s.offset]
	s.offset++
	switch c {
	case '{', '[':
		s.depth++
	case '}', ']':
		s.depth--
	case '"':
		content, ok = s.readString()
		return c, content, ok
	}
	return c, nil, true
}

// readString moves behind the closing quote of a string.
func (s *jsonScanner) readString() (content []byte, ok bool) {
	for start := s.offset; s.offset < len(s.text); s.offset++ {
		switch s.text[s.offset] {
		case '\\':
			s.offset++
		case '"':
			s.offset++
			return s.text[start : s.offset-1], true
		}
	}
	return nil, false
}

// findArray moves to the first element of an array under a name in the outermost
// object and returns its offset, -1 if there is none.
func (s *jsonScanner) findArray(name string) int {
	key := ""
	for {
		c, content, ok := s.next()
		switch {
		case !ok:
			return -1
		case c == '"' && s.depth == 1:
			key = string(content)
		case c == '[' && s.depth == arrayDepth && key == name:
			return s.offset
		case c == ',' && s.depth == 1:
			key = ""
		}
	}
}

// skipElement moves behind the comma or the bracket that ends an element of the array.
func (s *jsonScanner) skipElement() bool {
	for {
		c, _, ok := s.next()
		switch {
		case !ok:
			return false
		case c == ',' && s.depth == arrayDepth, s.depth < arrayDepth:
			return true
		}
	}
}
