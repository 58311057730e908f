// Package cli is the command line of snowquay.
package cli

import (
	"errors"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"snowquay/internal/console"
)

// commands declares all commands and their common flags. Kong derives the names of commands, flags and
// arguments from the names of the fields.
type commands struct {
	LogLevel string `help:"What is logged: debug, info, warn or error." enum:"debug,info,warn,error" default:"info" env:"SNOWQUAY_LOG_LEVEL"`
	LogJSON  bool   `help:"Log as JSON."`

	Serve    serveCommand     `cmd:"" help:"Run a coordinator."`
	Platform platformCommand  `cmd:"" help:"Run a coordinator on the platform, by the configuration that PROXY_CONFIG names."`
	Host     hostCommand      `cmd:"" help:"Run a host of many tenants, each with a coordinator of its own."`
	Tenant   tenantCommands   `cmd:"" help:"Create, change, show and remove the tenants of a host."`
	Proxy    proxyCommand     `cmd:"" help:"Run a small proxy that forwards by the published tables."`
	Check    checkCommand     `cmd:"" help:"Check a settings file: print its errors by line and element, or how it will act."`
	Scenario scenarioCommands `cmd:"" aliases:"rehearse" help:"Run a scenario with faults against emulated servers and proxies, and check the rules."`

	Experiment experimentCommands `cmd:"" aliases:"lab" help:"Experiments in virtual time: runs, sweeps, comparisons, reports, shrunk scenarios."`
	Drain      drainCommand       `cmd:"" help:"Drain a server, or end its drain, by the administration API, and follow it."`
	Preview    previewCommand     `cmd:"" help:"Print why servers must not be drained together."`
	Explain    explainCommand     `cmd:"" help:"Print why a proxy's latest orders were given, and when it held them."`
	Servers    serversCommand     `cmd:"" help:"List the servers that a coordinator knows."`
	Group      groupCommands      `cmd:"" help:"Show the coordinators that share a fleet, or remove one."`
	Schema     schemaCommand      `cmd:"" help:"Print the schema of all settings files."`
}

// environment holds the output and the logger of a command.
type environment struct {
	out io.Writer
	log *slog.Logger
}

// errNegativeResult is returned by a command that succeeded and has printed a negative result. It is not
// printed.
var errNegativeResult = errors.New("negative result")

// Exit statuses of the program.
const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
)

// Main runs a command line and returns the exit status: 0 for success, 1 for an error or a negative result,
// such as a broken rule, and 2 for an invalid command line.
func Main(args []string, out, errOut io.Writer) int {
	var parsed commands
	helpShown := false
	parser, err := kong.New(&parsed,
		kong.Name("snowquay"),
		kong.Description("A control service that assigns servers to proxies."),
		kong.Writers(out, errOut),
		kong.Exit(func(status int) { helpShown = status == exitSuccess }),
		kong.Vars{"guards": guardNames()})
	if err != nil {
		console.Println(errOut, "snowquay:", err)
		return exitUsage
	}
	ctx, err := parser.Parse(args)
	if helpShown {
		return exitSuccess
	}
	if err != nil {
		console.Println(errOut, "snowquay:", err)
		return exitUsage
	}
	err = ctx.Run(&environment{out: out, log: newLogger(errOut, parsed.LogLevel, parsed.LogJSON)})
	if err == nil {
		return exitSuccess
	}
	if !errors.Is(err, errNegativeResult) {
		console.Println(errOut, "snowquay:", err)
	}
	return exitFailure
}

func newLogger(out io.Writer, levelName string, asJSON bool) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(levelName)) // the parser accepts only valid names
	options := &slog.HandlerOptions{Level: level}
	if asJSON {
		return slog.New(slog.NewJSONHandler(out, options))
	}
	return slog.New(slog.NewTextHandler(out, options))
}

// terminationSignal returns a channel that receives the signals on which the program terminates.
func terminationSignal() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	return signals
}
