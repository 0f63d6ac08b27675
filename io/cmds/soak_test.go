package cmds

import (
	"path/filepath"
	"testing"
)

// Guards against a soak run that removes a folder of the operator's with all its
// content.
func TestSoakRemovesOnlyItsOwnFolder(t *testing.T) {
	existing := t.TempDir()
	for _, c := range []struct {
		folder      string
		wantCreated bool
	}{{existing, false}, {filepath.Join(existing, "new"), true}} {
		folder, created, err := (&soakCommand{Folder: c.folder}).makeFolder()
		if err != nil || folder != c.folder || created != c.wantCreated {
			t.Errorf("got folder %s, created %t, error %v, want %s, created %t", folder, created, err, c.folder, c.wantCreated)
		}
	}
	if _, _, err := (&soakCommand{Folder: filepath.Join(existing, "a", "b")}).makeFolder(); err == nil {
		t.Error("got no error for a folder whose parent does not exist")
	}
}
