// Package scenarios embeds the shipped scenarios of the emulator.
package scenarios

import (
	"embed"

	"dunlintray/internal/shipped"
)

//go:embed *.toml
var files embed.FS

// Names returns the names of the scenarios, sorted.
func Names() []string { return shipped.Files{FS: files}.Names() }

// Text returns the TOML text of the scenario called name. It returns an error if there is
// none.
func Text(name string) ([]byte, error) { return shipped.Files{FS: files}.Text(name) }
