package check

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// maxWait limits the wait for an event that must occur.
const maxWait = 60 * time.Second

// program is the path of the program under test.
var program string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "comfreypulley-check-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	program = filepath.Join(dir, "comfreypulley")
	if out, err := exec.Command("go", "build", "-o", program, "comfreypulley").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// eventually waits until a condition is met, and fails the test after maxWait.
func eventually(t *testing.T, what string, met func() bool) {
	t.Helper()
	for deadline := time.Now().Add(maxWait); !met(); {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not happen within %v", what, maxWait)
		}
		<-time.After(5 * time.Millisecond)
	}
}
