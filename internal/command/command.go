// Package command parses the command-line flags that all daemons of the project have in common: the
// path of the configuration, a check of it, and the level and format of the log.
package command

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
)

// Options are the command-line options of a daemon.
type Options struct {
	Config string // path of the configuration
	Check  bool   // check the configuration and exit

	level  slog.Level
	format string // "" for the default format of package log
}

// Parse parses the command line of the daemon called name. The environment variable env holds the
// path of the configuration if no flag does. Usage and flag errors are written to out. The error is
// flag.ErrHelp if the help was requested.
func Parse(name, env string, args []string, out io.Writer) (Options, error) {
	options := Options{level: slog.LevelInfo}
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(out)
	flags.Usage = func() {
		fmt.Fprintf(out, "Usage: %s [flags]\n", name)
		flags.PrintDefaults()
	}
	flags.StringVar(&options.Config, "config", os.Getenv(env), "`path` of the configuration; without it, $"+env)
	flags.BoolVar(&options.Check, "check", false, "check the configuration and end")
	flags.TextVar(&options.level, "log-level", options.level, "least `level` to log: debug, info, warn or error")
	flags.StringVar(&options.format, "log-format", "", "`form` of the log: text or json")
	if err := flags.Parse(args); err != nil {
		return options, err
	}
	switch {
	case flags.NArg() > 0:
		return options, fmt.Errorf("%q: only flags are accepted", flags.Arg(0))
	case options.format != "" && options.format != "text" && options.format != "json":
		return options, fmt.Errorf("--log-format: %q is neither text nor json", options.format)
	case options.Config == "":
		return options, errors.New(env + " is not set, nor --config")
	}
	return options, nil
}

// Log configures slog's default logger as the options say. With a format, it writes to out and adds
// the attributes to each record; without one, only the level changes.
func (options Options) Log(out io.Writer, attributes ...any) {
	handler := &slog.HandlerOptions{Level: options.level}
	switch options.format {
	case "json":
		slog.SetDefault(slog.New(slog.NewJSONHandler(out, handler)).With(attributes...))
	case "text":
		slog.SetDefault(slog.New(slog.NewTextHandler(out, handler)).With(attributes...))
	default:
		slog.SetLogLoggerLevel(options.level)
	}
}
