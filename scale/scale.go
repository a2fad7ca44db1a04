// Package scale has the scenarios of scale runs that ship with the program.
package scale

import (
	"embed"
	"io/fs"
	"strings"
)

//go:embed *.toml
var files embed.FS

// Names are those of the scenarios, in order.
func Names() []string {
	var all []string
	entries, err := fs.ReadDir(files, ".")
	if err != nil {
		return nil // of an embedded folder
	}
	for _, e := range entries {
		all = append(all, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return all
}

// Text is the text of the scenario called name.
func Text(name string) ([]byte, error) { return files.ReadFile(name + ".toml") }
