// Package shipped reads TOML files that are embedded in the program.
package shipped

import (
	"embed"
	"io/fs"
	"strings"
)

const extension = ".toml"

// Files are embedded TOML files. Their names are without the extension.
type Files struct{ FS embed.FS }

// Names returns the names of the files in alphabetical order.
func (f Files) Names() []string {
	var all []string
	entries, err := fs.ReadDir(f.FS, ".")
	if err != nil {
		return nil // cannot happen in an embedded folder
	}
	for _, e := range entries {
		all = append(all, strings.TrimSuffix(e.Name(), extension))
	}
	return all
}

// Text returns the content of a file. It returns an error if there is no file of that name.
func (f Files) Text(name string) ([]byte, error) { return f.FS.ReadFile(name + extension) }
