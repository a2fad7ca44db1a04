package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"dunlintray/internal/planted"
	"dunlintray/internal/play"
	"dunlintray/internal/referee"
	"dunlintray/scenarios"
)

// defect is a fault that is planted into a daemon by edits of its sources, and the rule that has to
// report it.
type defect struct {
	Name     string
	Rule     string
	Scenario string
	Program  string // gateway by default
	Edit     []planted.Edit
}

func readDefects(t *testing.T) []defect {
	t.Helper()
	var file struct{ Defect []defect }
	text, err := os.ReadFile("testdata/defects.toml")
	if err == nil {
		err = toml.Unmarshal(text, &file)
	}
	if err != nil {
		t.Fatal(err)
	}
	return file.Defect
}

// build builds the daemon with the edited sources as an overlay, and returns the path of the
// executable.
func (d defect) build(t *testing.T) string {
	t.Helper()
	return planted.Build(t, d.Name, "../..", "../"+d.program(), d.Edit)
}

func (d defect) program() string {
	if d.Program == "" {
		return "gateway"
	}
	return d.Program
}

// environmentInt returns the integer in an environment variable, or defaultValue if there is none.
func environmentInt(name string, defaultValue int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return defaultValue
}

// playScenario plays a shipped scenario with the executables given by name of the daemon, and with
// those of the tests otherwise.
func playScenario(t *testing.T, name string, seed uint64, executables map[string]string) *play.Result {
	t.Helper()
	s, err := readScenario(name)
	if err != nil {
		t.Fatal(err)
	}
	s.Seed = seed
	options := play.Options{Gateway: daemonDir + "/gateway", Registry: daemonDir + "/registry", Dir: t.TempDir()}
	if path := executables["gateway"]; path != "" {
		options.Gateway = path
	}
	if path := executables["registry"]; path != "" {
		options.Registry = path
	}
	result, err := play.Run(t.Context(), s, options)
	if err != nil {
		t.Fatalf("%s, seed %d: %v", name, seed, err)
	}
	return result
}

// The text that each planted defect replaces occurs once in its source.
func TestDefectsFitTheSources(t *testing.T) {
	for _, d := range readDefects(t) {
		for _, edit := range d.Edit {
			text, err := os.ReadFile(filepath.Join("../..", edit.File))
			if err != nil {
				t.Errorf("%s: %v", d.Name, err)
				continue
			}
			if n := strings.Count(string(text), edit.Old); n != 1 {
				t.Errorf("%s: the text to replace occurs %d times in %s, want 1", d.Name, n, edit.File)
			}
		}
	}
}

// The rule of each planted defect reports it on a shipped scenario. Without DEFECTS a few are
// played; DEFECTS=all plays all, and another value those whose names contain it. DEFECT_SEEDS sets
// the number of seeds and DEFECT_PLAYS the plays at once.
func TestPlantedDefects(t *testing.T) {
	defects := readDefects(t)
	for _, rule := range referee.Rules() {
		if !slices.ContainsFunc(defects, func(d defect) bool { return d.Rule == rule }) {
			t.Errorf("no defect is planted against rule %s", rule)
		}
	}
	selection, selected := os.LookupEnv("DEFECTS")
	defaultSelection := []string{"a list service drops the drain of a registration", "local shares have no end while the counter is silent", "a key of a zone is sent to another"}
	slots := make(chan struct{}, environmentInt("DEFECT_PLAYS", len(defaultSelection)))
	var mu sync.Mutex
	soundPlays := map[string]func() *play.Result{}
	for _, d := range defects {
		if selected && selection != "all" && !strings.Contains(d.Name, selection) || !selected && !slices.Contains(defaultSelection, d.Name) {
			continue
		}
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			executable := d.build(t)
			for seed := range uint64(environmentInt("DEFECT_SEEDS", 1)) {
				result := playScenario(t, d.Scenario, seed+1, map[string]string{d.program(): executable})
				if result.Counts[d.Rule] == 0 {
					t.Errorf("%s, seed %d: broken rules are %v, want %s among them", d.Scenario, seed+1, result.Counts, d.Rule)
				}
				if !selected {
					continue
				}
				key := fmt.Sprint(d.Scenario, seed)
				mu.Lock()
				if soundPlays[key] == nil {
					soundPlays[key] = sync.OnceValue(func() *play.Result { return playScenario(t, d.Scenario, seed+1, nil) })
				}
				soundPlay := soundPlays[key]
				mu.Unlock()
				for _, violation := range soundPlay().Violations {
					t.Errorf("%s, seed %d, without the defect (invalid: %q): %v", d.Scenario, seed+1, soundPlay().InvalidReason, violation)
				}
				t.Logf("| %s | %s | %s %d | %d | %.3f | %.3f |", d.Name, d.Rule, d.Scenario, seed+1, result.Counts[d.Rule], soundPlay().Tally.ServedFraction(), result.Tally.ServedFraction())
			}
		})
	}
}

// The daemons break no rule on any shipped scenario and exercise its required rules, at the seeds
// from SOUND_FIRST to SOUND_SEEDS. SOUND_ONLY selects scenarios by name.
func TestSoundOnAllScenarios(t *testing.T) {
	seeds := environmentInt("SOUND_SEEDS", 0)
	if seeds == 0 {
		t.Skip("SOUND_SEEDS is not set")
	}
	for seed := uint64(environmentInt("SOUND_FIRST", 1)) - 1; seed < uint64(seeds); seed++ {
		for _, name := range scenarios.Names() {
			if only := os.Getenv("SOUND_ONLY"); only != "" && !slices.Contains(strings.Split(only, ","), name) {
				continue
			}
			result := playScenario(t, name, seed+1, nil)
			s, err := readScenario(name)
			if err != nil {
				t.Fatal(err)
			}
			if untried := referee.Untried(result.Trials, s.RequiredRules); len(untried) > 0 {
				t.Errorf("%s, seed %d: rules not exercised: %v", name, seed+1, untried)
			}
			for _, violation := range result.Violations {
				t.Errorf("%s, seed %d: %v", name, seed+1, violation)
			}
			t.Logf("| %s %d | %.3f | %.2f | %.2f | %s |", name, seed+1, result.Tally.ServedFraction(), result.MinCeilingRemaining, result.MaxColdBudgetUsed, result.InvalidReason)
		}
	}
}
