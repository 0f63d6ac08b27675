package conf

import "fmt"

// FileError reports one unusable line of a file.
type FileError struct {
	File    string
	Line    int // 0 when the key is missing
	Section string
	Key     string
	Text    string
}

// Error implements error.
func (p *FileError) Error() string {
	where := p.File
	if p.Line > 0 {
		where = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key == "" {
		return fmt.Sprintf("%s: [%s] %s", where, p.Section, p.Text)
	}
	return fmt.Sprintf("%s: [%s] %s %s", where, p.Section, p.Key, p.Text)
}
