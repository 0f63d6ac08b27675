package model

import (
	"fmt"
	"time"
)

// Key is an idempotency key: a UUID of version 7, whose first 48 bits are the
// time of its creation in milliseconds. The zero Key marks an idempotent request.
type Key [16]byte

// KeyError reports a text that is not a UUID of version 7.
type KeyError struct {
	Text string
}

// Error implements error.
func (e *KeyError) Error() string {
	return fmt.Sprintf("idempotency key %q is not a UUID of version 7", e.Text)
}

const keyText = 36 // characters of a UUID with its hyphens

// ParseKey reads the usual text form of a UUID of version 7. Any other text
// gives a *KeyError.
func ParseKey(text string) (Key, error) {
	var key Key
	if len(text) != keyText {
		return Key{}, &KeyError{Text: text}
	}
	n := 0
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
		key[n/2] = key[n/2]<<4 | digit
		n++
	}
	if key[6]>>4 != 7 {
		return Key{}, &KeyError{Text: text}
	}
	return key, nil
}

// NewKey makes a key from a time and ten bytes of randomness.
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

// Time returns the time of creation in the key.
func (k Key) Time() time.Time {
	var ms int64
	for i := range 6 {
		ms = ms<<8 | int64(k[i])
	}
	return time.UnixMilli(ms)
}

// String returns the usual text form.
func (k Key) String() string {
	return fmt.Sprintf("%x-%x-%x-%x-%x", k[0:4], k[4:6], k[6:8], k[8:10], k[10:16])
}

// IsZero reports whether the request carries no key.
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
