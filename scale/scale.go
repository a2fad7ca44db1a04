// Package scale has the scenarios of scale runs that ship with the program.
package scale

import (
	"embed"

	"dunlintray/internal/shipped"
)

//go:embed *.toml
var files embed.FS

// Names are those of the scenarios, in order.
func Names() []string { return shipped.Files{FS: files}.Names() }

// Text is the text of the scenario called name.
func Text(name string) ([]byte, error) { return shipped.Files{FS: files}.Text(name) }
