package codec

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Limits of what is read of an array that is not valid as a whole. They bound the time
// that is spent on text with many openings.
const (
	maxElementBytes = 64 << 10
	maxElementDepth = 64
	maxKeyBytes     = 256     // of a field beside the array, with its quotes
	minWasted       = 1 << 20 // bytes that may be read in vain of a text of any length
	maxWastedFactor = 64      // of the length of the text, beyond minWasted
)

// Elements returns the elements of the array that a JSON object has under a name at
// its first level, and the object with an empty array in its place. Elements are not
// checked, so that one which cannot be read does not cost the others. Without such an
// array, rest is the whole text. An array that does not end gives an *ArrayError.
//
// If the text is not valid, an element may be cut off or contain odd quotes and brackets.
// Then only objects are taken as elements that can be read; see arrayReader. What lies
// between two of them is returned as one element.
func Elements(text []byte, name string) (elements [][]byte, rest []byte, err error) {
	s := jsonScanner{text: text}
	start := s.findArray(name)
	if start < 0 {
		return nil, text, nil
	}
	var end int
	if json.Valid(text) {
		elements, end = s.validElements()
	} else {
		r := arrayReader{text: text, from: start, wasted: minWasted + maxWastedFactor*len(text)}
		elements, end = r.elements()
	}
	if end < 0 {
		return nil, nil, &ArrayError{Name: name, Offset: start}
	}
	return elements, withoutElements(text, start, end), nil
}

// ArrayError reports an array of a JSON text that does not end.
type ArrayError struct {
	Name   string // of the field that has the array
	Offset int    // of its first element, in bytes
}

// Error implements error.
func (e *ArrayError) Error() string {
	return fmt.Sprintf("array %q is cut off; its elements begin at byte %d", e.Name, e.Offset)
}

// withoutElements returns a text without the elements of the array from a first to a last
// offset.
func withoutElements(text []byte, start, end int) []byte {
	rest := make([]byte, 0, start+len(text)-end)
	return append(append(rest, text[:start]...), text[end:]...)
}

// arrayReader reads the elements of an array in a text that is not valid JSON. An object
// is an element if it is valid, begins after a comma or the opening bracket, and is
// followed by a comma or a closing bracket. A closing bracket ends the array if what
// follows it is the valid rest of an object.
//
// Some texts cannot be told apart: an object after a comma within an element that is cut
// off reads like an element of its own, and bytes that close the array and open another
// one end it there.
type arrayReader struct {
	text   []byte
	from   int // offset of the next element
	wasted int // bytes that may still be read in vain
}

// elements returns the elements, and the offset of the bracket that ends the array, -1
// when there is none.
func (r *arrayReader) elements() (elements [][]byte, end int) {
	for {
		next, ok := r.skipObject(skipSpace(r.text, r.from))
		if !ok {
			object, isEnd, found := r.nextObject()
			if !found {
				return nil, -1
			}
			broken := bytes.TrimSpace(r.text[r.from:object])
			if !isEnd {
				broken = bytes.TrimSpace(bytes.TrimSuffix(broken, []byte(",")))
			}
			if len(broken) > 0 {
				elements = append(elements, broken)
			}
			if isEnd {
				return elements, object
			}
			r.from = object
			continue
		}
		elements = append(elements, bytes.TrimSpace(r.text[r.from:next]))
		r.from = skipSpace(r.text, next)
		if r.text[r.from] == ',' {
			r.from++
		}
	}
}

// nextObject returns the offset of the next element that can be read, or, with isEnd, that
// of the bracket that ends the array.
func (r *arrayReader) nextObject() (offset int, isEnd, found bool) {
	first := skipSpace(r.text, r.from)
	for i := r.from; i < len(r.text) && r.wasted > 0; i++ {
		switch r.text[i] {
		case ']':
			if r.endsArray(i) {
				return i, true, true
			}
		case '{':
			if i == first || !r.followsComma(i) {
				continue
			}
			if _, ok := r.skipObject(i); ok {
				return i, false, true
			}
		}
	}
	return 0, false, false
}

// followsComma reports whether the last byte before an offset is a comma, apart from space.
func (r *arrayReader) followsComma(offset int) bool {
	before := bytes.TrimRight(r.text[r.from:offset], jsonSpace)
	return len(before) > 0 && before[len(before)-1] == ','
}

// skipObject returns the offset behind an object that can be read and is followed by a
// comma or a closing bracket.
func (r *arrayReader) skipObject(offset int) (end int, ok bool) {
	if offset == len(r.text) || r.text[offset] != '{' {
		return 0, false
	}
	s := jsonScanner{text: r.text[:min(len(r.text), offset+maxElementBytes)], offset: offset}
	defer func() {
		if !ok {
			r.wasted -= s.offset - offset
		}
	}()
	for s.offset == offset || s.depth > 0 {
		if _, _, ok := s.next(); !ok || s.depth > maxElementDepth {
			return 0, false
		}
	}
	after := skipSpace(r.text, s.offset)
	if after == len(r.text) || r.text[after] != ',' && r.text[after] != ']' {
		return 0, false
	}
	return s.offset, json.Valid(r.text[offset:s.offset])
}

// endsArray reports whether the bracket at an offset ends the array.
func (r *arrayReader) endsArray(offset int) bool {
	after := skipSpace(r.text, offset+1)
	if after == len(r.text) || r.text[after] != '}' && r.text[after] != ',' {
		return false
	}
	if r.text[after] == ',' && !r.isKey(skipSpace(r.text, after+1)) {
		return false // as most brackets, which need no decoder then
	}
	decoder := json.NewDecoder(io.MultiReader(strings.NewReader(`{"":[`), bytes.NewReader(r.text[offset:])))
	var object json.RawMessage
	err := decoder.Decode(&object)
	if err == nil {
		if _, err = decoder.Token(); errors.Is(err, io.EOF) {
			return true
		}
	}
	r.wasted -= minEndCheck
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		r.wasted -= int(syntax.Offset)
	} else {
		r.wasted -= len(r.text) - offset
	}
	return false
}

// isKey reports whether a key of an object and its colon are at an offset.
func (r *arrayReader) isKey(offset int) bool {
	s := jsonScanner{text: r.text[:min(len(r.text), offset+maxKeyBytes)], offset: offset}
	if c, _, ok := s.next(); !ok || c != '"' {
		return false
	}
	after := skipSpace(r.text, s.offset)
	return after < len(r.text) && r.text[after] == ':'
}

// minEndCheck is the number of bytes that a decoder reads at least.
const minEndCheck = 512

const jsonSpace = " \t\r\n"

// skipSpace returns the offset of the first byte from an offset on that is not space.
func skipSpace(text []byte, offset int) int {
	return len(text) - len(bytes.TrimLeft(text[offset:], jsonSpace))
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

// validElements returns the elements of the array in a valid text, and the offset of the
// bracket that ends it.
func (s *jsonScanner) validElements() (elements [][]byte, end int) {
	for s.depth >= arrayDepth {
		from := s.offset
		s.skipElement()
		if element := bytes.TrimSpace(s.text[from : s.offset-1]); len(element) > 0 {
			elements = append(elements, element)
		}
	}
	return elements, s.offset - 1
}

// skipElement moves behind the comma or the bracket that ends an element of the array.
func (s *jsonScanner) skipElement() {
	for {
		c, _, ok := s.next()
		if !ok || c == ',' && s.depth == arrayDepth || s.depth < arrayDepth {
			return
		}
	}
}
