package main

import (
	"embed"
	"encoding/json"
	"text/template"
)

// pages holds the platform's names, the settings of a process and the manifests.
//
//go:embed pages
var pages embed.FS

var (
	names            = readNames()
	settingsTemplate = template.Must(template.ParseFS(pages, "pages/settings.conf"))
)

// readNames returns the platform's names of headers, fields and variables.
func readNames() map[string]string {
	var names map[string]string
	if err := json.Unmarshal(readPage("names.json"), &names); err != nil {
		panic(err)
	}
	return names
}

func readPage(name string) []byte {
	b, err := pages.ReadFile("pages/" + name)
	if err != nil {
		panic(err)
	}
	return b
}
