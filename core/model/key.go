package model

import (
	"fmt"
	"time"
)

// Key is an idempotency key: a UUID of version 7, whose first 48 bits are the
// time of its creation in Unix milliseconds. The zero Key means that the request
// is idempotent and needs no key.
type Key [16]byte

// KeyError reports a string that is not a UUID of version 7.
type KeyError struct {
	Text string
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("idempotency key %q is not a UUID of version 7", e.Text)
}

const keyLength = 36 // characters of a UUID including hyphens

// ParseKey parses the standard text form of a UUID of version 7. For any other
// string it returns a *KeyError.
func ParseKey(text string) (Key, error) {
	var key Key
	if len(text) != keyLength {
		return Key{}, &KeyError{Text: text}
	}
	digits := 0
	for i := range len(text) {
		c := text[i]
		if i == 8 || i == 13 || i == 18 || i == 23 {
			if c != '-' {
				return Key{}, &KeyError{Text: text}
			}
			continue
		}
		digit, ok := hexDigit(c)
		if !ok {
			return Key{}, &KeyError{Text: text}
		}
		key[digits/2] = key[digits/2]<<4 | digit
		digits++
	}
	if key[6]>>4 != 7 {
		return Key{}, &KeyError{Text: text}
	}
	return key, nil
}

// NewKey makes a key from its time of creation and ten random bytes.
func NewKey(at time.Time, random [10]byte) Key {
	var key Key
	ms := at.UnixMilli()
	for i := range 6 {
		key[i] = byte(ms >> (8 * (5 - i)))
	}
	copy(key[6:], random[:])
	key[6] = 0x70 | key[6]&0x0f
	key[8] = 0x80 | key[8]&0x3f
	return key
}

// Time returns the key's time of creation.
func (k Key) Time() time.Time {
	var ms int64
	for i := range 6 {
		ms = ms<<8 | int64(k[i])
	}
	return time.UnixMilli(ms)
}

// String returns the standard text form.
func (k Key) String() string {
	return fmt.Sprintf("%x-%x-%x-%x-%x", k[0:4], k[4:6], k[6:8], k[8:10], k[10:16])
}

// IsZero reports whether the key is absent.
func (k Key) IsZero() bool {
	return k == Key{}
}

func hexDigit(c byte) (byte, bool) {
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case c >= 'a' && c <= 'f':
		return c - 'a' + 10, true
	case c >= 'A' && c <= 'F':
		return c - 'A' + 10, true
	default:
		return 0, false
	}
}
