package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"dunlintray/internal/play"
	"dunlintray/internal/referee"
	"dunlintray/scenarios"
)

// defect is one that is planted into a program.
type defect struct {
	Name     string
	Rule     string
	Scenario string
	Program  string // gateway, if empty
	Edit     []struct{ File, Old, New string }
}

func readDefects(t *testing.T) []defect {
	t.Helper()
	var all struct{ Defect []defect }
	text, err := os.ReadFile("testdata/defects.toml")
	if err == nil {
		err = toml.Unmarshal(text, &all)
	}
	if err != nil {
		t.Fatal(err)
	}
	return all.Defect
}

// plant builds the defect's program, from sources of which the compiler sees others,
// and returns its path.
func (d defect) plant(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	texts := map[string]string{}
	for _, e := range d.Edit {
		path, err := filepath.Abs(filepath.Join("../..", e.File))
		if err != nil {
			t.Fatal(err)
		}
		if _, read := texts[path]; !read {
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			texts[path] = string(text)
		}
		if n := strings.Count(texts[path], e.Old); n != 1 {
			t.Fatalf("%s: its place stands %d times in %s", d.Name, n, e.File)
		}
		texts[path] = strings.Replace(texts[path], e.Old, e.New, 1)
	}
	var overlay struct{ Replace map[string]string }
	overlay.Replace = map[string]string{}
	for path, text := range texts {
		file := filepath.Join(dir, fmt.Sprint(len(overlay.Replace), ".go"))
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		overlay.Replace[path] = file
	}
	text, err := json.Marshal(overlay)
	if err == nil {
		err = os.WriteFile(filepath.Join(dir, "overlay.json"), text, 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	program := filepath.Join(dir, "program")
	build := exec.Command("go", "build", "-overlay", filepath.Join(dir, "overlay.json"), "-o", program, "../"+d.program())
	if text, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", d.Name, err, text)
	}
	return program
}

func (d defect) program() string {
	if d.Program == "" {
		return "gateway"
	}
	return d.Program
}

// number is a number out of the environment.
func number(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return otherwise
}

// playing plays a scenario that ships with the programs given, the tests' own where
// there is none.
func playing(t *testing.T, name string, seed uint64, programs map[string]string) *play.Result {
	t.Helper()
	s, err := read(name)
	if err != nil {
		t.Fatal(err)
	}
	s.Seed = seed
	o := play.Options{Gateway: bin + "/gateway", Registry: bin + "/registry", Dir: t.TempDir()}
	if p := programs["gateway"]; p != "" {
		o.Gateway = p
	}
	if p := programs["registry"]; p != "" {
		o.Registry = p
	}
	r, err := play.Run(t.Context(), s, o)
	if err != nil {
		t.Fatalf("%s, seed %d: %v", name, seed, err)
	}
	return r
}

// Every planted defect still fits the sources: the text that it replaces occurs once.
func TestDefectsFitTheSources(t *testing.T) {
	for _, d := range readDefects(t) {
		for _, e := range d.Edit {
			text, err := os.ReadFile(filepath.Join("../..", e.File))
			if err != nil {
				t.Errorf("%s: %v", d.Name, err)
				continue
			}
			if n := strings.Count(string(text), e.Old); n != 1 {
				t.Errorf("%s: the text that it replaces occurs %d times in %s", d.Name, n, e.File)
			}
		}
	}
}

// Each planted defect is named by its rule on a scenario that ships. Of all of them
// a few are played here; DEFECTS=all plays all, or those whose names have its text,
// at DEFECT_SEEDS seeds, and tells what each did to the worth.
func TestPlantedDefects(t *testing.T) {
	all := readDefects(t)
	for _, rule := range referee.Rules() {
		if !slices.ContainsFunc(all, func(d defect) bool { return d.Rule == rule }) {
			t.Errorf("no defect is planted against the rule %s", rule)
		}
	}
	want, told := os.LookupEnv("DEFECTS")
	few := []string{"a list service drops the drain of a registration", "local shares have no end while the counter is silent", "a key of a zone is sent to another"}
	places := make(chan struct{}, number("DEFECT_PLAYS", len(few)))
	var mu sync.Mutex
	sound := map[string]func() *play.Result{}
	for _, d := range all {
		if told && want != "all" && !strings.Contains(d.Name, want) || !told && !slices.Contains(few, d.Name) {
			continue
		}
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			places <- struct{}{}
			defer func() { <-places }()
			program := d.plant(t)
			for seed := range uint64(number("DEFECT_SEEDS", 1)) {
				r := playing(t, d.Scenario, seed+1, map[string]string{d.program(): program})
				if r.Counts[d.Rule] == 0 {
					t.Errorf("%s, seed %d: told as %v, not as %s", d.Scenario, seed+1, r.Counts, d.Rule)
				}
				if !told {
					continue
				}
				key := fmt.Sprint(d.Scenario, seed)
				mu.Lock()
				if sound[key] == nil {
					sound[key] = sync.OnceValue(func() *play.Result { return playing(t, d.Scenario, seed+1, nil) })
				}
				without := sound[key]
				mu.Unlock()
				for _, v := range without().Violations {
					t.Errorf("%s, seed %d, without the defect (late: %q): %v", d.Scenario, seed+1, without().InvalidReason, v)
				}
				t.Logf("| %s | %s | %s %d | %d | %.3f | %.3f |", d.Name, d.Rule, d.Scenario, seed+1, r.Counts[d.Rule], without().Tally.ServedFraction(), r.Tally.ServedFraction())
			}
		})
	}
}

// The programs as they are break no rule on any scenario that ships, and try what
// each is there to try, at seeds from SOUND_FIRST to SOUND_SEEDS.
func TestSoundOnAllScenarios(t *testing.T) {
	seeds := number("SOUND_SEEDS", 0)
	if seeds == 0 {
		t.Skip("SOUND_SEEDS asks for it")
	}
	for seed := uint64(number("SOUND_FIRST", 1)) - 1; seed < uint64(seeds); seed++ {
		for _, name := range scenarios.Names() {
			if only := os.Getenv("SOUND_ONLY"); only != "" && !slices.Contains(strings.Split(only, ","), name) {
				continue
			}
			r := playing(t, name, seed+1, nil)
			s, err := read(name)
			if err != nil {
				t.Fatal(err)
			}
			if untried := referee.Untried(r.Trials, s.RequiredRules); len(untried) > 0 {
				t.Errorf("%s, seed %d: not tried: %v", name, seed+1, untried)
			}
			for _, v := range r.Violations {
				t.Errorf("%s, seed %d: %v", name, seed+1, v)
			}
			t.Logf("| %s %d | %.3f | %.2f | %.2f | %s |", name, seed+1, r.Tally.ServedFraction(), r.MinCeilingRemaining, r.MaxColdBudgetUsed, r.InvalidReason)
		}
	}
}
