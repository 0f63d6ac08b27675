package body_test

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"comfreypulley/io/body"
)

// Guards against bodies that are cut at a boundary of the reader, and against a
// truncated body that passes for a complete one.
func TestReadAll(t *testing.T) {
	var budget body.Budget
	for _, size := range []int{0, 1, 64 << 10, 64<<10 + 1, 1 << 20} {
		text := strings.Repeat("x", size)
		for _, length := range []int64{-1, int64(size)} {
			got, err := budget.ReadAll(strings.NewReader(text), length)
			if err != nil || string(got) != text {
				t.Errorf("got %d bytes and error %v with length %d, want %d bytes", len(got), err, length, size)
			}
		}
	}
	truncated := io.MultiReader(strings.NewReader("x"), &failingReader{})
	if _, err := budget.ReadAll(truncated, -1); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got error %v for a truncated body, want io.ErrUnexpectedEOF", err)
	}
}

type failingReader struct{}

func (*failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against a budget that stays used up after a body that was too long, and
// against refusing small bodies while a long one is read.
func TestBudgetIsReleased(t *testing.T) {
	var budget body.Budget
	long := budget.NewReader(bytes.NewReader(make([]byte, body.MaxBytes)))
	if _, err := io.Copy(io.Discard, long); err != nil {
		t.Fatalf("got error %v for a body of the maximum size, want none", err)
	}
	if _, err := budget.ReadAll(strings.NewReader("small"), -1); err != nil {
		t.Errorf("got error %v for a small body, want none", err)
	}
	medium := make([]byte, body.MaxBytes)
	var size *body.SizeError
	if _, err := budget.ReadAll(bytes.NewReader(medium), -1); !errors.As(err, &size) {
		t.Errorf("got error %v while half of the budget is used, want a SizeError", err)
	}
	long.Release()
	if _, err := budget.ReadAll(bytes.NewReader(medium), -1); err != nil {
		t.Errorf("got error %v after the release, want none", err)
	}
	if _, err := budget.ReadAll(strings.NewReader(""), 1<<40); !errors.As(err, &size) {
		t.Errorf("got error %v for a stated length of 1 TiB, want a SizeError", err)
	}
}
