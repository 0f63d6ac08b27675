package conf

import "fmt"

// FileError reports an invalid or missing section, key or value of a file.
type FileError struct {
	File    string
	Line    int // 0 when the file contains neither the key nor the section
	Section string
	Key     string // empty when the section is invalid as a whole
	Problem string
}

// Error implements error.
func (e *FileError) Error() string {
	where := e.File
	if e.Line > 0 {
		where = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key == "" {
		return fmt.Sprintf("%s: [%s] %s", where, e.Section, e.Problem)
	}
	return fmt.Sprintf("%s: [%s] %s %s", where, e.Section, e.Key, e.Problem)
}
