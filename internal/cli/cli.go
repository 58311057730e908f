// Package cli is snowquay's command line.
package cli

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/url"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"snowquay/internal/console"
	"snowquay/internal/coordinator"
	"snowquay/internal/core/authz"
	"snowquay/internal/core/controlplane"
	"snowquay/internal/core/membership"
	"snowquay/internal/platform"
	"snowquay/internal/scenario"
	"snowquay/internal/service"
	"snowquay/internal/settings"
)

type commands struct {
	LogLevel string `help:"What is logged: debug, info, warn or error." enum:"debug,info,warn,error" default:"info" env:"SNOWQUAY_LOG_LEVEL"`
	LogJSON  bool   `help:"Log as JSON."`

	Serve    serve       `cmd:"" help:"Run a coordinator."`
	Platform platformed  `cmd:"" help:"Run a coordinator on the platform, by the configuration that PROXY_CONFIG names."`
	Host     hostCommand `cmd:"" help:"Run a host of many tenants, each with a coordinator of its own."`
	Tenant   tenants     `cmd:"" help:"Make, change, look at and remove the tenants of a host."`
	Proxy    proxy       `cmd:"" help:"Run a small proxy that obeys the published tables."`
	Check    check       `cmd:"" help:"Say what is wrong with a settings file, by line and element, or how it will act."`
	Scenario scenarios   `cmd:"" aliases:"rehearse" help:"Play a scenario with faults against emulated servers and relays, and judge the rules."`

	Experiment experiments `cmd:"" aliases:"lab" help:"Experiments in virtual time: runs, sweeps, comparisons, reports, small bad days."`
	Drain      drain       `cmd:"" help:"Order a drain, or its end, by the administration API, and follow it."`
	Preview    preview     `cmd:"" help:"Say why servers must not be drained together."`
	Explain    explain     `cmd:"" help:"Say why a proxy's latest orders were given, and when it held them."`
	Servers    servers     `cmd:"" help:"List the servers that a coordinator knows."`
	Group      group       `cmd:"" help:"Look at coordinators that share a fleet, or take one out."`
	Schema     schema      `cmd:"" help:"Print the schema of settings and days."`
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
		console.Println(errOut, "snowquay:", err)
		return 2
	}
	ctx, err := parser.Parse(args)
	if code == 0 { // help was asked for
		return 0
	}
	if err != nil {
		console.Println(errOut, "snowquay:", err)
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
		console.Println(errOut, "snowquay:", err)
	}
	if err != nil {
		return 1
	}
	return 0
}

// ended tells when the program is told to end.
func ended() <-chan os.Signal {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	return stop
}

type serve struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file (XML)."`
}

func (s *serve) Run(e *env) error {
	c, err := settings.LoadCoordinator(s.Settings)
	if err != nil {
		return err
	}
	return service.Serve(c, e.log, ended())
}

type platformed struct{}

func (*platformed) Run(e *env) error { return platform.Run(e.log) }

type proxy struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file (XML)."`
	Check    bool   `help:"Only say what is wrong with it."`
}

func (p *proxy) Run(e *env) error {
	c, err := settings.LoadProxy(p.Settings)
	if err != nil {
		return err
	}
	if p.Check {
		_, err = fmt.Fprintf(e.out, "proxy %s on %s: %d classes, %d routes, %d servers listed, %d coordinators\n", c.UID, c.Listen,
			len(c.Forwarding.ClassNames), len(c.Routes), len(c.Forwarding.Locations), len(c.Coordinators))
		return err
	}
	return service.Proxy(c, e.log, ended())
}

type check struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file (XML)."`
	Day      bool   `help:"The file is a scenario."`
}

func (c *check) Run(e *env) error {
	if c.Day {
		d, err := settings.LoadScenario(c.Settings)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(e.out, "%s%g s, %d troubles\n", d.Coordinator, d.Seconds, len(d.Faults))
		return err
	}
	s, err := settings.LoadCoordinator(c.Settings)
	if err != nil {
		return err
	}
	_, err = fmt.Fprint(e.out, s)
	return err
}

type drain struct {
	Settings string  `arg:"" type:"existingfile" help:"Settings file (XML) of the coordinator."`
	Server   string  `arg:"" help:"Address and port."`
	End      bool    `help:"End the drain."`
	Force    bool    `help:"Also where it would do harm."`
	LoseZone bool    `help:"Refuse it also where it would do harm if any one zone were lost."`
	Follow   float64 `help:"Seconds to wait until no proxy sends to it any more." default:"10"`
}

func (d *drain) Run(e *env) error {
	c, err := settings.LoadCoordinator(d.Settings)
	if err != nil {
		return err
	}
	b, err := service.CallAdmin(c, authz.RoleStaff, "POST", "/v1/drains", map[string]any{"server": d.Server, "on": !d.End, "force": d.Force,
		"lose-zone": d.LoseZone})
	if err == nil && !d.End && d.Follow > 0 {
		b, err = service.CallAdmin(c, authz.RoleViewer, "GET", fmt.Sprintf("/v1/drains/%s?wait=%g", service.Escape(d.Server), d.Follow), nil)
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.out, "%s\n", b)
	return err
}

type preview struct {
	Settings string   `arg:"" type:"existingfile" help:"Settings file (XML) of the coordinator."`
	Server   []string `arg:"" help:"Addresses and ports of servers to be drained together."`
	LoseZone bool     `help:"With any one zone lost besides."`
}

func (p *preview) Run(e *env) error {
	c, err := settings.LoadCoordinator(p.Settings)
	if err != nil {
		return err
	}
	b, err := service.CallAdmin(c, authz.RoleViewer, "POST", "/v1/preview", map[string]any{"drain": p.Server, "lose-zone": p.LoseZone})
	if err != nil {
		return err
	}
	var result struct {
		Harmless bool     `json:"harmless"`
		Reasons  []string `json:"reasons"`
	}
	if err := json.Unmarshal(b, &result); err != nil {
		return err
	}
	for _, r := range result.Reasons {
		console.Println(e.out, r)
	}
	if !result.Harmless {
		return errBroken
	}
	_, err = fmt.Fprintln(e.out, "harmless")
	return err
}

type explain struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file (XML) of the coordinator."`
	Proxy    string `arg:"" help:"UID of the proxy."`
	Most     int    `help:"How many orders." default:"5"`
}

func (x *explain) Run(e *env) error {
	c, err := settings.LoadCoordinator(x.Settings)
	if err != nil {
		return err
	}
	b, err := service.CallAdmin(c, authz.RoleViewer, "GET", "/v1/orders?relay="+url.QueryEscape(x.Proxy), nil)
	if err != nil {
		return err
	}
	return explained(e, b, x.Proxy, x.Most)
}

// explained prints orders that a coordinator remembers.
func explained(e *env, b []byte, proxy string, most int) error {
	var rows []map[string]any
	if err := json.Unmarshal(b, &rows); err != nil {
		return err
	}
	if len(rows) == 0 {
		console.Printf(e.out, "no order to %s is remembered\n", proxy)
	}
	for _, r := range rows[:min(len(rows), most)] {
		console.Printf(e.out, "round %v", r["round"])
		for _, name := range slices.Sorted(maps.Keys(r)) {
			if name != "round" && name != "relay" {
				console.Printf(e.out, ", %s %v", name, r[name])
			}
		}
		console.Println(e.out)
	}
	return nil
}

type servers struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file (XML) of the coordinator."`
}

func (s *servers) Run(e *env) error {
	c, err := settings.LoadCoordinator(s.Settings)
	if err != nil {
		return err
	}
	b, err := service.CallAdmin(c, authz.RoleViewer, "GET", "/v1/servers", nil)
	if err != nil {
		return err
	}
	var rows []struct {
		Server string `json:"server"`
		Phase  string `json:"phase"`
		Zone   string `json:"zone"`
		Pod    int    `json:"pod"`
		Cold   bool   `json:"cold"`
	}
	if err := json.Unmarshal(b, &rows); err != nil {
		return err
	}
	for _, r := range rows {
		cold := ""
		if r.Cold {
			cold = ", cold"
		}
		console.Printf(e.out, "%-24s %s%s (zone %s, pod %d)\n", r.Server, r.Phase, cold, r.Zone, r.Pod)
	}
	return nil
}

type group struct {
	Status groupStatus `cmd:"" help:"What each coordinator says of the group."`
	Remove groupRemove `cmd:"" help:"Take a coordinator out for good; its number never comes back."`
}

type groupStatus struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file (XML) of any of them."`
}

func loadGroup(path string) (*coordinator.GroupConfig, error) {
	c, err := settings.LoadCoordinator(path)
	if err != nil {
		return nil, err
	}
	if c.Group == nil {
		return nil, fmt.Errorf("%s has no element group: the coordinator shares its fleet with nobody", path)
	}
	return c.Group, nil
}

func (g *groupStatus) Run(e *env) error {
	setup, err := loadGroup(g.Settings)
	if err != nil {
		return err
	}
	numbers := slices.Sorted(maps.Keys(setup.Members))
	heard := 0
	for _, n := range numbers {
		s, err := service.GroupStatus(setup.Members[n], setup.Key)
		if err != nil {
			console.Printf(e.out, "%d at %s: %v\n", n, setup.Members[n], err)
			continue
		}
		heard++
		console.Printf(e.out, "%d at %s: holds its lease: %t; epoch %d; consensus leader %d, %d agreed; %d drains\n", n,
			setup.Members[n], s.HoldsLease, s.Epoch, s.Leader, s.Commit, s.Drains)
		for _, k := range slices.Sorted(maps.Keys(s.Registrations)) {
			m, seat := s.Members[s.Registrations[k].Peer], s.Registrations[k]
			state := "lives"
			if seat.Removed {
				state = "taken out"
			} else if !m.Alive {
				state = "does not renew"
			}
			console.Printf(e.out, "    %d %s at %s: %s, weight %g\n", k, seat.Peer, seat.Address, state, m.Weight)
		}
		if s.Failed != "" {
			console.Printf(e.out, "    it orders nothing: %s\n", s.Failed)
		}
	}
	if heard <= len(numbers)/2 {
		return errBroken
	}
	return nil
}

type groupRemove struct {
	Settings string        `arg:"" type:"existingfile" help:"Settings file (XML) of any of them."`
	Number   uint64        `arg:"" help:"Number of the coordinator to be taken out."`
	Wait     time.Duration `help:"How long to wait until it is agreed on." default:"10s"`
}

func (g *groupRemove) Run(e *env) error {
	setup, err := loadGroup(g.Settings)
	if err != nil {
		return err
	}
	if err := service.RemoveMember(setup, membership.MemberID(g.Number), g.Wait); err != nil {
		return err
	}
	_, err = fmt.Fprintf(e.out, "%d is taken out\n", g.Number)
	return err
}

type schema struct{}

func (schema) Run(e *env) error {
	_, err := e.out.Write(settings.Schema)
	return err
}

type scenarios struct {
	Day      rehearsd  `cmd:"" default:"withargs" help:"One day, with one coordinator or several in virtual time."`
	Hosted   hostedDay `cmd:"" help:"A day of many tenants on one host."`
	Takeover takeovers `cmd:"" help:"Coordinators as processes of their own, killed and stopped again and again."`
}

type takeovers struct {
	Proxies bool    `help:"Proxies of our own with HTTP clients, in place of stand-in relays."`
	Kills   int     `help:"How many times one is killed." default:"100"`
	Every   float64 `help:"Seconds between two kills, on average." default:"4"`
	Seed    uint64  `help:"Of what goes wrong." default:"1"`
	Front   string  `help:"How relays join: sasp, http, or both." enum:"sasp,http,both" default:"both"`
	Virtual bool    `help:"In virtual time: coordinators are programs of this process, whose hosts are killed."`
	Calm    bool    `help:"No trouble but the deaths and pauses of coordinators."`
	Servers int     `help:"How many servers; the bad day's if none. Other than those in virtual time only."`
	Relays  int     `help:"How many relays, likewise."`
	Spare   bool    `help:"The same day without the deaths and pauses, to compare with."`
	Folder  string  `help:"For their settings, stores and logs; one that is removed afterwards if none." type:"path"`
}

func (t *takeovers) Run(e *env) (err error) {
	day, err := settings.ParseScenario("bad-day.xml", scenario.DefaultScenario)
	if err != nil {
		return err
	}
	if t.Servers > 0 || t.Relays > 0 {
		if !t.Virtual {
			return errors.New("another number of servers or relays is played in virtual time only, with --virtual")
		}
		scenario.Enlarge(day, cmp.Or(t.Servers, len(day.Coordinator.Site.Servers)), cmp.Or(t.Relays, len(day.Coordinator.Site.Proxies)))
	}
	scenario.AddTakeovers(day, t.Kills, t.Every, t.Seed, t.Calm)
	if t.Spare {
		day.Faults = slices.DeleteFunc(day.Faults, func(x settings.Fault) bool { return strings.HasPrefix(x.Kind, "coordinator_") })
	}
	if t.Virtual {
		return show(e, day, scenario.Options{Log: e.log, Front: t.Front, Coordinators: 3, Proxies: t.Proxies})
	}
	exe, err := os.Executable()
	if err != nil {
		return err
	}
	folder := t.Folder
	if folder == "" {
		if folder, err = os.MkdirTemp("", "snowquay"); err != nil {
			return err
		}
		defer func() { err = errors.Join(err, os.RemoveAll(folder)) }()
	}
	log, err := os.Create(filepath.Join(folder, "coordinators.log"))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, log.Close()) }()
	console.Printf(e.out, "playing %.0f s over loopback sockets, three coordinators as processes, %d kills ...\n", day.Seconds, t.Kills)
	return show(e, day, scenario.Options{Sockets: true, Log: e.log, Front: t.Front, Coordinators: 3, Proxies: t.Proxies,
		Processes: &scenario.Processes{Exe: exe, Folder: folder, Log: log}})
}

// show plays a day and prints the verdicts.
func show(e *env, day *settings.Scenario, opts scenario.Options) error {
	result, err := scenario.Run(day, opts)
	if err != nil {
		return err
	}
	if err := result.Print(e.out, day.Coordinator.Site.ClassNames); err != nil {
		return err
	}
	if !result.Kept() {
		return errBroken
	}
	return nil
}

type rehearsd struct {
	Proxies      bool     `help:"Proxies of our own with HTTP clients, in place of stand-in relays."`
	Day          string   `arg:"" optional:"" type:"existingfile" help:"Day file (XML); the built-in bad day if none."`
	Virtual      bool     `help:"In virtual time, seeded, instead of over loopback sockets."`
	Front        string   `help:"How relays join: sasp, http, or both." enum:"sasp,http,both" default:"sasp"`
	Coordinators int      `help:"How many coordinators share the fleet; more than one in virtual time only." default:"1"`
	Seed         uint64   `help:"Seed instead of the day's."`
	Without      []string `help:"Leave a guard out: ${guards}." placeholder:"GUARD"`
}

func guards() string {
	var names []string
	for _, g := range controlplane.Guards {
		names = append(names, string(g))
	}
	return strings.Join(names, ", ")
}

func (r *rehearsd) Run(e *env) error {
	var without []controlplane.Guard
	for _, name := range r.Without {
		if !strings.Contains(", "+guards()+",", " "+name+",") {
			return fmt.Errorf("no guard is named %q; there are %s", name, guards())
		}
		without = append(without, controlplane.Guard(name))
	}
	day, err := settings.ParseScenario("bad-day.xml", scenario.DefaultScenario, without...)
	if r.Day != "" {
		day, err = settings.LoadScenario(r.Day, without...)
	}
	if err != nil {
		return err
	}
	if r.Coordinators > 1 && !r.Virtual {
		return errors.New("several coordinators are rehearsed in virtual time only, with --virtual")
	}
	if !r.Virtual {
		console.Printf(e.out, "playing %g s over loopback sockets ...\n", day.Seconds)
	}
	return show(e, day, scenario.Options{Sockets: !r.Virtual, Log: e.log, Seed: r.Seed, Front: r.Front, Coordinators: r.Coordinators, Proxies: r.Proxies})
}
