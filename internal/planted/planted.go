// Package planted builds programs with faults that tests plant into their sources. The sources stay as they
// are: the build reads the edited ones through an overlay.
package planted

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Edit replaces a text that occurs once in a source file.
type Edit struct{ File, Old, New string }

// Build builds the main package in a directory with edits, whose files are relative to root, and returns the
// path of the executable. It fails the test if an edit does not fit or the build fails.
func Build(t testing.TB, name, root, mainDir string, edits []Edit) (executable string) {
	t.Helper()
	dir := t.TempDir()
	texts := map[string]string{}
	for _, edit := range edits {
		path, err := filepath.Abs(filepath.Join(root, edit.File))
		if err != nil {
			t.Fatal(err)
		}
		if _, found := texts[path]; !found {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			texts[path] = string(text)
		}
		if n := strings.Count(texts[path], edit.Old); n != 1 {
			t.Fatalf("%s: the text to replace occurs %d times in %s, want 1", name, n, edit.File)
		}
		texts[path] = strings.Replace(texts[path], edit.Old, edit.New, 1)
	}
	overlay := writeOverlay(t, dir, texts)
	executable = filepath.Join(dir, "program")
	build := exec.Command("go", "build", "-overlay", overlay, "-o", executable, mainDir)
	if text, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", name, err, text)
	}
	return executable
}

// writeOverlay writes texts, by the path that they replace, and the overlay file for the build.
func writeOverlay(t testing.TB, dir string, texts map[string]string) (path string) {
	t.Helper()
	var overlay struct{ Replace map[string]string }
	overlay.Replace = map[string]string{}
	for path, text := range texts {
		editedPath := filepath.Join(dir, fmt.Sprint(len(overlay.Replace), ".go"))
		if err := os.WriteFile(editedPath, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		overlay.Replace[path] = editedPath
	}
	text, err := json.Marshal(overlay)
	path = filepath.Join(dir, "overlay.json")
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	return path
}
