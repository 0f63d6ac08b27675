package conf

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"gopkg.in/ini.v1"
)

// iniOptions holds the options for reading and writing.
var iniOptions = ini.LoadOptions{
	SkipUnrecognizableLines: false,
	IgnoreContinuation:      true,
	IgnoreInlineComment:     false,
	KeyValueDelimiters:      "=",
}

// iniFile is a parsed INI file with its line numbers.
type iniFile struct {
	path        string
	ini         *ini.File
	lineNumbers map[string]int // by section name, or by section name, newline and key
}

// readINI reads and parses a file.
func readINI(file string) (f *iniFile, err error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return parseINI(file, raw)
}

// parseINI parses a file and rejects sections and keys that appear twice.
func parseINI(file string, raw []byte) (f *iniFile, err error) {
	parsed, err := ini.LoadSources(iniOptions, raw)
	if err != nil {
		return nil, &FileError{File: file, Section: "file", Problem: err.Error()}
	}
	f = &iniFile{path: file, ini: parsed, lineNumbers: make(map[string]int)}
	section := ini.DefaultSection
	for i, line := range bytes.Split(raw, []byte("\n")) {
		text := strings.TrimSpace(string(line))
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			section = strings.TrimSpace(strings.Trim(text, "[]"))
			if _, duplicate := f.lineNumbers[section]; duplicate {
				return nil, &FileError{File: file, Line: i + 1, Section: section, Problem: "appears twice"}
			}
			f.lineNumbers[section] = i + 1
		default:
			key, _, _ := strings.Cut(text, "=")
			id := section + "\n" + strings.TrimSpace(key)
			if _, duplicate := f.lineNumbers[id]; duplicate {
				return nil, &FileError{File: file, Line: i + 1, Section: section, Key: strings.TrimSpace(key), Problem: "appears twice"}
			}
			f.lineNumbers[id] = i + 1
		}
	}
	return f, nil
}

// errorAt returns a *FileError with the line of a key, or that of its section when
// the file does not contain the key.
func (f *iniFile) errorAt(section, key, format string, args ...any) error {
	line := f.lineNumbers[section+"\n"+key]
	if line == 0 {
		line = f.lineNumbers[section]
	}
	return &FileError{File: f.path, Line: line, Section: section, Key: key, Problem: fmt.Sprintf(format, args...)}
}

// setting describes one key of a section.
type setting struct {
	key      string
	required bool
	parse    func(text string) error
}

// readSection parses the values of a section. It fails for unknown keys, missing
// required keys and invalid values.
func (f *iniFile) readSection(section string, settings []setting) error {
	s, err := f.ini.GetSection(section)
	if err != nil {
		s = ini.Empty().Section(section)
	}
	for _, key := range s.Keys() {
		if !isKnown(settings, key.Name()) {
			return f.errorAt(section, key.Name(), "is not a known key")
		}
	}
	for _, v := range settings {
		text := ""
		if s.HasKey(v.key) {
			text = strings.TrimSpace(s.Key(v.key).String())
		}
		if text == "" {
			if v.required {
				return f.errorAt(section, v.key, "is missing")
			}
			continue
		}
		if err := v.parse(text); err != nil {
			return f.errorAt(section, v.key, "%s", err.Error())
		}
	}
	return nil
}

// isKnown reports whether one of the settings has the key.
func isKnown(settings []setting, key string) bool {
	for _, v := range settings {
		if v.key == key {
			return true
		}
	}
	return false
}

// sections returns the section names in the order of the file.
func (f *iniFile) sections() []string {
	var names []string
	for _, s := range f.ini.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		names = append(names, s.Name())
	}
	return names
}
