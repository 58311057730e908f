// Package cli is snowquay's command line.
package cli

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"snowquay/internal/core/fleet"
	"snowquay/internal/rehearse"
	"snowquay/internal/service"
	"snowquay/internal/settings"
)

type commands struct {
	LogLevel string `help:"What is logged: debug, info, warn or error." enum:"debug,info,warn,error" default:"info"`
	LogJSON  bool   `help:"Log as JSON."`

	Serve    serve    `cmd:"" help:"Run a coordinator."`
	Check    check    `cmd:"" help:"Say what is wrong with a settings file, by line and element, or how it will act."`
	Rehearse rehearsd `cmd:"" help:"Play a bad day with embedded stand-ins and judge the rules."`
	Schema   schema   `cmd:"" help:"Print the schema of settings and days."`
}

type env struct {
	out io.Writer
	log *slog.Logger
}

// errBroken says that the command worked, and what it found is bad.
var errBroken = errors.New("broken")

// Main runs a command line and returns its exit status: 0, or 1 where something is wrong or a rule was broken, or 2
// for a command line that can't be read.
func Main(args []string, out, errOut io.Writer) int {
	var c commands
	code := -1
	parser, err := kong.New(&c, kong.Name("snowquay"), kong.Writers(out, errOut), kong.Exit(func(n int) { code = n }),
		kong.Description("A control service that assigns servers to proxies."), kong.Vars{"guards": guards()})
	if err != nil {
		fmt.Fprintln(errOut, "snowquay:", err)
		return 2
	}
	ctx, err := parser.Parse(args)
	if code == 0 { // help was asked for
		return 0
	}
	if err != nil {
		fmt.Fprintln(errOut, "snowquay:", err)
		return 2
	}
	var level slog.Level
	_ = level.UnmarshalText([]byte(c.LogLevel)) // the parser has seen to it
	opts := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewTextHandler(errOut, opts)
	if c.LogJSON {
		handler = slog.NewJSONHandler(errOut, opts)
	}
	err = ctx.Run(&env{out, slog.New(handler)})
	if err != nil && !errors.Is(err, errBroken) {
		fmt.Fprintln(errOut, "snowquay:", err)
	}
	if err != nil {
		return 1
	}
	return 0
}

type serve struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file (XML)."`
}

func (s *serve) Run(e *env) error {
	c, err := settings.LoadCoordinator(s.Settings)
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	return service.Serve(c, e.log, stop)
}

type check struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file (XML)."`
	Day      bool   `help:"The file is a day for rehearse."`
}

func (c *check) Run(e *env) error {
	if c.Day {
		d, err := settings.LoadDay(c.Settings)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(e.out, "%s%g s, %d troubles\n", d.Coordinator, d.Seconds, len(d.Troubles))
		return err
	}
	s, err := settings.LoadCoordinator(c.Settings)
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(e.out, s)
	return err
}

type schema struct{}

func (schema) Run(e *env) error {
	_, err := e.out.Write(settings.Schema)
	return err
}

type rehearsd struct {
	Day          string   `arg:"" optional:"" type:"existingfile" help:"Day file (XML); the built-in bad day if none."`
	Virtual      bool     `help:"In virtual time, seeded, instead of over loopback sockets."`
	Front        string   `help:"How relays join: sasp, http, or both." enum:"sasp,http,both" default:"sasp"`
	Coordinators int      `help:"How many coordinators share the fleet; more than one in virtual time only." default:"1"`
	Seed         uint64   `help:"Seed instead of the day's."`
	Without      []string `help:"Leave a guard out: ${guards}." placeholder:"GUARD"`
}

func guards() string {
	var names []string
	for _, g := range fleet.Guards {
		names = append(names, string(g))
	}
	return strings.Join(names, ", ")
}

func (r *rehearsd) Run(e *env) error {
	var without []fleet.Guard
	for _, name := range r.Without {
		if !strings.Contains(", "+guards()+",", " "+name+",") {
			return fmt.Errorf("no guard is named %q; there are %s", name, guards())
		}
		without = append(without, fleet.Guard(name))
	}
	day, err := settings.ParseDay("bad-day.xml", rehearse.BadDay, without...)
	if r.Day != "" {
		day, err = settings.LoadDay(r.Day, without...)
	}
	if err != nil {
		return err
	}
	if r.Coordinators > 1 && !r.Virtual {
		return errors.New("several coordinators are rehearsed in virtual time only, with --virtual")
	}
	if !r.Virtual {
		fmt.Fprintf(e.out, "playing %g s over loopback sockets ...\n", day.Seconds)
	}
	result, err := rehearse.Run(day, rehearse.Options{Sockets: !r.Virtual, Log: e.log, Seed: r.Seed, Front: r.Front, Coordinators: r.Coordinators})
	if err != nil {
		return err
	}
	if err := result.Print(e.out, day.Coordinator.Site.Names); err != nil {
		return err
	}
	if !result.Kept() {
		return errBroken
	}
	return nil
}
