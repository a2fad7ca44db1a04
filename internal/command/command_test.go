package command

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"log/slog"
	"strings"
	"testing"
)

// Guards against invalid command lines that are accepted, and errors that do not name the cause.
func TestParseValidatesFlags(t *testing.T) {
	t.Setenv("SOME_CONFIG", "env.json")
	for _, test := range []struct {
		args   string
		config string
		check  bool
		err    string // "" for none
	}{
		{"", "env.json", false, ""},
		{"--config a.json --check", "a.json", true, ""},
		{"--log-level debug --log-format json", "env.json", false, ""},
		{"--log-level loud", "", false, "log-level"},
		{"--log-format xml", "", false, `"xml" is neither`},
		{"start", "", false, "only flags"},
		{"--config=", "", false, "SOME_CONFIG is not set"},
		{"--colour", "", false, "colour"},
	} {
		options, err := Parse("some", "SOME_CONFIG", strings.Fields(test.args), &bytes.Buffer{})
		switch {
		case test.err != "" && (err == nil || !strings.Contains(err.Error(), test.err)):
			t.Errorf("%q: %v", test.args, err)
		case test.err == "" && (err != nil || options.Config != test.config || options.Check != test.check):
			t.Errorf("%q: %+v %v", test.args, options, err)
		}
	}
	var out bytes.Buffer
	if _, err := Parse("some", "SOME_CONFIG", []string{"--help"}, &out); !errors.Is(err, flag.ErrHelp) || !strings.Contains(out.String(), "SOME_CONFIG") {
		t.Errorf("%v\n%s", err, &out)
	}
}

// Guards against log flags and attributes that have no effect.
func TestLogFollowsFlags(t *testing.T) {
	t.Setenv("SOME_CONFIG", "env.json")
	before := slog.Default()
	defer slog.SetDefault(before)
	for format, want := range map[string]string{"json": `"gateway":"n1"`, "text": "gateway=n1"} {
		var out bytes.Buffer
		options, err := Parse("some", "SOME_CONFIG", []string{"--log-format", format, "--log-level", "warn"}, &out)
		if err != nil {
			t.Fatal(err)
		}
		options.Log(&out, "gateway", "n1")
		slog.Info("quiet")
		slog.Warn("loud")
		if text := out.String(); strings.Contains(text, "quiet") || !strings.Contains(text, want) || format == "json" && !json.Valid(out.Bytes()) {
			t.Errorf("%s: %q", format, text)
		}
	}
}
