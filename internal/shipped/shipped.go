// Package shipped reads the TOML files that are embedded into the program.
package shipped

import (
	"embed"
	"io/fs"
	"strings"
)

const extension = ".toml"

// Files are embedded TOML files, each called by its name without the ending.
type Files struct{ FS embed.FS }

// Names returns the names of the files, in order.
func (f Files) Names() []string {
	var all []string
	entries, err := fs.ReadDir(f.FS, ".")
	if err != nil {
		return nil // of an embedded folder
	}
	for _, e := range entries {
		all = append(all, strings.TrimSuffix(e.Name(), extension))
	}
	return all
}

// Text returns the text of the file called name.
func (f Files) Text(name string) ([]byte, error) { return f.FS.ReadFile(name + extension) }
