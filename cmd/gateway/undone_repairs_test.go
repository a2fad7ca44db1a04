package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// sourceEdit replaces a text that occurs once in a source of the gateway.
type sourceEdit struct{ file, old, new string }

// undoneRepairs are repairs that TestSecondCopiesSoak guards, by what is undone. No build of the gateway but
// that of the test has the edits.
var undoneRepairs = map[string][]sourceEdit{
	"each process takes the whole heap and the whole memory": {
		{"internal/gateway/resources.go", "l.limitHeap(plan.heap)", "l.limitHeap(l.config.resourcePlan(1).heap)"},
		{"internal/gateway/gateway.go", "metrics.bodies.SetTotal(plan.bodies)", "metrics.bodies.SetTotal(config.resourcePlan(1).bodies)"}},
	"a second attempt is not told that the body is gone": {
		{"internal/gateway/upload.go", "	if u.reader != nil {\n		return errBodyConsumed\n	}\n", ""},
		{"internal/gateway/upload.go", "	case u.reader != nil && u.reader != sender:\n		return errBodyConsumed // also at the end of the body, most of which the sender has not seen\n", ""},
		{"internal/gateway/request_body.go", "f.loop.post(bodyConsumed{exchange})", ""}},
	"a whole response beside a streamed one is kept": {
		{"internal/gateway/loop.go", "exchange.responseStarted && attempt.download == nil: // another", "false: // another"}},
	"a body waits for memory longer than its client": {
		{"internal/gateway/request_body.go", "	ctx, cancel := context.WithTimeout(ctx, timeLeft)\n	defer cancel()\n", "	_ = timeLeft\n"}},
}

// buildEdited builds the command with edits of its sources.
func buildEdited(t *testing.T, edits []sourceEdit) (program string) {
	t.Helper()
	dir := t.TempDir()
	replaced := map[string]string{}
	texts := map[string]string{}
	for index, edit := range edits {
		path, err := filepath.Abs(filepath.Join("../..", edit.file))
		if err != nil {
			t.Fatal(err)
		}
		text, edited := texts[path]
		if !edited {
			original, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			text = string(original)
			replaced[path] = filepath.Join(dir, fmt.Sprint(index, ".go"))
		}
		if count := strings.Count(text, edit.old); count != 1 {
			t.Fatalf("%q occurs %d times in %s, want 1", edit.old, count, edit.file)
		}
		texts[path] = strings.Replace(text, edit.old, edit.new, 1)
	}
	for path, text := range texts {
		if err := os.WriteFile(replaced[path], []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replaced})
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "overlay.json"), overlay, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	program = filepath.Join(dir, "gateway")
	if text, err := exec.Command("go", "build", "-overlay", filepath.Join(dir, "overlay.json"), "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	return program
}

// The soak must name each repair that is undone, within UNDONE_SEEDS seeds. Without that number the edits are
// built only.
func TestUndoneRepairsAreNamed(t *testing.T) {
	seeds := soakNumber(t, "UNDONE_SEEDS", 0)
	for name, edits := range undoneRepairs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			program := buildEdited(t, edits)
			for seed := 1; seed <= seeds; seed++ {
				if violations := newCopiesSoak(t, uint64(seed), program).run(); len(violations) > 0 {
					t.Logf("named at seed %d: %s", seed, violations[0])
					return
				}
			}
			if seeds > 0 {
				t.Errorf("not named in %d seeds", seeds)
			}
		})
	}
}
