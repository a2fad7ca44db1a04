// Package command has what the project's daemons take on their command lines
// alike: where the configuration is, whether only to check it, and how to log.
package command

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
)

// Options are what a daemon was started with.
type Options struct {
	Config string // path of the configuration
	Check  bool   // read the configuration, say whether it is good, and end

	level  slog.Level
	format string // "" where no flag asked for another than the platform's lines
}

// Parse reads the command line of the daemon called name. The variable env
// names the configuration where no flag does. Help was printed where the error
// is flag.ErrHelp.
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
		return options, fmt.Errorf("%q: only flags are taken", flags.Arg(0))
	case options.format != "" && options.format != "text" && options.format != "json":
		return options, fmt.Errorf("--log-format: %q is neither text nor json", options.format)
	case options.Config == "":
		return options, errors.New(env + " is not set, nor --config")
	}
	return options, nil
}

// Log makes slog's default logger write to out as the flags ask, each record
// with the attributes given. Without flags the lines stay what they are.
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
