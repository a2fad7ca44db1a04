package gateway

import (
	"strings"
	"testing"
	"time"
)

// testSettings have no quotas.
const testSettings = `{"fleetSize": 2, "rank": 1, "tickS": 0.002, "localities": ["a", "b"], "kinds": ["m"],
	"allowed": {"cancel": true, "mostTries": 4, "connectTimeoutS": 5, "keepaliveS": 15, "retryAfter": false, "maxRetryAfterS": 0.5},
	"obligations": {"answerSlackS": 0.01, "drainGraceS": 2},
	"classes": [
		{"name": "lookup", "objectiveS": 10, "deadlineS": 20, "points": 1, "effect": "repeatable"},
		{"name": "booking", "objectiveS": 10, "deadlineS": 20, "points": 3, "effect": "by_key", "keyScope": "cell", "windowS": 2},
		{"name": "payment", "objectiveS": 10, "deadlineS": 20, "points": 3, "effect": "once"},
		{"name": "glance", "objectiveS": 0.2, "deadlineS": 20, "points": 1, "effect": "repeatable"}],
	"packages": [{"name": "basic", "pays": 1}, {"name": "council", "pays": 2}],
	"familyInfo": {"mostUnits": 4}}`

// configText returns the text of a configuration.
func configText(discovery, settings string) string {
	return `{"name": "n3", "listen": "127.0.0.1:0", "discovery": "` + discovery + `", "seed": "8c1f30d27a5be964",
	"limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "counter": "127.0.0.1:1",
	"known": {"generation": 41, "reset": true, "instances": []}, "settings": ` + settings + `}`
}

// A valid configuration is read, and each invalid one is rejected with an error of one line.
func TestConfig(t *testing.T) {
	config, err := parseConfig([]byte(configText("127.0.0.1:1", testSettings)))
	if err != nil {
		t.Fatal(err)
	}
	if config.Seed != 0x8c1f30d27a5be964 || config.Rank != 1 || config.ClassNames[1] != "booking" || config.PlanNames[1] != "council" ||
		config.KeepAlive != 15 || config.Sockets != 1024 || config.Known.Generation != 41 || config.Zones[1] != "b" {
		t.Errorf("read %+v", config)
	}
	for _, replacement := range [][2]string{
		{`{`, ``},
		{`"seed": "8c1f30d27a5be964"`, `"seed": "x"`},
		{`"listen": "127.0.0.1:0"`, `"listen": "127.0.0.1"`},
		{`"discovery": "127.0.0.1:1"`, `"discovery": ""`},
		{`"counter": "127.0.0.1:1"`, `"counter": ""`},
		{`"sockets": 1024`, `"sockets": 10`},
		{`"cores": 1.0`, `"cores": 0`},
		{`"memory_mb": 192`, `"memory_mb": "much"`},
		{`"rank": 1`, `"rank": 2`},
		{`"tickS": 0.002`, `"tickS": 0`},
		{`"keepaliveS": 15`, `"keepaliveS": 0`},
		{`"name": "booking"`, `"name": "lookup"`},
		{`"name": "council"`, `"name": ""`},
		{`"effect": "once"`, `"effect": "twice"`},
		{`"settings"`, `"other"`},
	} {
		withCounter := strings.Replace(testSettings, `"mostUnits": 4`, `"mostUnits": 4, "hasCounter": true, "counterTimeoutS": 0.05`, 1)
		text := configText("127.0.0.1:1", withCounter)
		if !strings.Contains(text, replacement[0]) {
			t.Fatalf("%s is not in the configuration", replacement[0])
		}
		_, err := parseConfig([]byte(strings.Replace(text, replacement[0], replacement[1], 1)))
		if err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", replacement[1], err)
		}
	}
	if _, err := ReadConfig(t.TempDir() + "/none"); err == nil {
		t.Error("a missing file was read")
	}
}

// The clock is Unix time, as all gateways must agree on the windows of leases.
func TestClock(t *testing.T) {
	clock := newClock()
	now := clock.now()
	if elapsed := time.Since(clock.at(now)); elapsed < 0 || elapsed > testTimeout || time.Since(time.Unix(int64(now), 0)) > testTimeout {
		t.Errorf("now is %f, %v ago", now, elapsed)
	}
}

// A reload must have all keys of the current configuration, since a truncated file may still be
// valid JSON.
func TestReloadNeedsKeysOfCurrentConfig(t *testing.T) {
	text := configText("127.0.0.1:1", testSettings)
	config, err := parseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	for _, change := range []struct {
		from, to string
		good     bool
	}{
		{"", "", true},
		{`"mostTries": 4`, `"mostTries": 1`, true},
		{`{"name": "payment", "objectiveS": 10, "deadlineS": 20, "points": 3, "effect": "once"},`, "", true},
		{`{"name": "payment"`, `{"name": "audit", "objectiveS": 1, "deadlineS": 2, "points": 1, "effect": "once"}, {"name": "payment"`, true},
		{`"mostTries": 4, `, "", false},
		{`"mostTries": 4`, `"mostTries": 0`, false},
		{`"mostTries": 4`, `"mostTries": "four"`, false},
		{`"deadlineS": 20`, `"deadlineS": -1`, false},
		{`"deadlineS": 20`, `"deadlineS": null`, false},
		{`"deadlineS": 20, `, "", false},
		{`"points": 3, "effect": "once"`, `"effect": "once"`, false},
		{`"seed": "8c1f30d27a5be964",`, "", false},
		{`"known": {"generation": 41, "reset": true, "instances": []},`, "", false},
		{text, text[:len(text)-1], false},
		{text, "", false},
	} {
		if !strings.Contains(text, change.from) {
			t.Fatalf("%s is not in the configuration", change.from)
		}
		next, err := parseConfig([]byte(strings.Replace(text, change.from, change.to, 1)))
		if err == nil {
			err = config.checkReload(&next)
		}
		if (err == nil) != change.good {
			t.Errorf("%q for %q: %v", change.to, change.from, err)
		}
	}
}
