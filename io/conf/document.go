package conf

import (
	"bytes"
	"fmt"
	"os"
	"strings"

	"gopkg.in/ini.v1"
)

// options of the reader and the writer.
var options = ini.LoadOptions{
	SkipUnrecognizableLines: false,
	IgnoreContinuation:      true,
	IgnoreInlineComment:     false,
	KeyValueDelimiters:      "=",
}

// document is a parsed file with the lines of its keys.
type document struct {
	file  string
	ini   *ini.File
	lines map[string]int // by section and key
}

func readDocument(file string) (d *document, err error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return parseDocument(file, raw)
}

func parseDocument(file string, raw []byte) (d *document, err error) {
	parsed, err := ini.LoadSources(options, raw)
	if err != nil {
		return nil, &FileError{File: file, Section: "file", Text: err.Error()}
	}
	d = &document{file: file, ini: parsed, lines: make(map[string]int)}
	section := ini.DefaultSection
	for i, line := range bytes.Split(raw, []byte("\n")) {
		text := strings.TrimSpace(string(line))
		switch {
		case text == "" || text[0] == '#' || text[0] == ';':
		case text[0] == '[':
			section = strings.TrimSpace(strings.Trim(text, "[]"))
			if _, again := d.lines[section]; again {
				return nil, &FileError{File: file, Line: i + 1, Section: section, Text: "appears twice"}
			}
			d.lines[section] = i + 1
		default:
			key, _, _ := strings.Cut(text, "=")
			id := section + "\n" + strings.TrimSpace(key)
			if _, again := d.lines[id]; again {
				return nil, &FileError{File: file, Line: i + 1, Section: section, Key: strings.TrimSpace(key), Text: "appears twice"}
			}
			d.lines[id] = i + 1
		}
	}
	return d, nil
}

func (d *document) problem(section, key, format string, args ...any) error {
	line := d.lines[section+"\n"+key]
	if line == 0 {
		line = d.lines[section]
	}
	return &FileError{File: d.file, Line: line, Section: section, Key: key, Text: fmt.Sprintf(format, args...)}
}

// field reads one key of a section.
type field struct {
	key      string
	required bool
	set      func(text string) error
}

// read sets the fields of a section and reports keys that are not among them.
func (d *document) read(section string, fields []field) error {
	s, err := d.ini.GetSection(section)
	if err != nil {
		s = ini.Empty().Section(section)
	}
	for _, key := range s.Keys() {
		if !known(fields, key.Name()) {
			return d.problem(section, key.Name(), "is not a known key")
		}
	}
	for _, f := range fields {
		text := ""
		if s.HasKey(f.key) {
			text = strings.TrimSpace(s.Key(f.key).String())
		}
		if text == "" {
			if f.required {
				return d.problem(section, f.key, "is missing")
			}
			continue
		}
		if err := f.set(text); err != nil {
			return d.problem(section, f.key, "%s", err.Error())
		}
	}
	return nil
}

func known(fields []field, key string) bool {
	for _, f := range fields {
		if f.key == key {
			return true
		}
	}
	return false
}

// sections lists the section names in the order of the file.
func (d *document) sections() []string {
	var names []string
	for _, s := range d.ini.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		names = append(names, s.Name())
	}
	return names
}
