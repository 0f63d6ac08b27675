package disk

import (
	"fmt"

	"github.com/zeebo/errs"
)

// errorClass adds the subject to the errors of this package.
var errorClass = errs.Class("data folder")

// CorruptError reports a file that is missing or whose content was damaged.
type CorruptError struct {
	File    string
	Offset  int64 // of the record, in bytes
	Problem string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at byte %d: %s", e.File, e.Offset, e.Problem)
}

// LockedError reports a folder that another process uses.
type LockedError struct {
	Folder string
}

// Error implements error.
func (e *LockedError) Error() string {
	return e.Folder + " is in use by another process"
}
