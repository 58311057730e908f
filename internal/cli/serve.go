package cli

import (
	"fmt"

	"snowquay/internal/platform"
	"snowquay/internal/service"
	"snowquay/internal/settings"
)

type serveCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file (XML)."`
}

// Run runs a coordinator until the program receives a termination signal.
func (c *serveCommand) Run(env *environment) error {
	config, err := settings.LoadCoordinator(c.Settings)
	if err != nil {
		return err
	}
	return service.Serve(config, env.log, terminationSignal())
}

type platformCommand struct{}

// Run runs a coordinator on the platform with the configuration that PROXY_CONFIG names.
func (*platformCommand) Run(env *environment) error { return platform.Run(env.log) }

type hostCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file of the host (XML)."`
	Check    bool   `help:"Only print its errors, or how it will act."`
}

// Run runs a host of tenants until the program receives a termination signal.
func (c *hostCommand) Run(env *environment) error {
	config, err := settings.LoadHost(c.Settings)
	if err != nil {
		return err
	}
	if c.Check {
		_, err = fmt.Fprint(env.out, config)
		return err
	}
	return service.ServeHost(config, env.log, terminationSignal())
}

type proxyCommand struct {
	Settings string `arg:"" type:"existingfile" help:"Settings file (XML)."`
	Check    bool   `help:"Only print its errors."`
}

// Run runs a proxy until the program receives a termination signal.
func (c *proxyCommand) Run(env *environment) error {
	config, err := settings.LoadProxy(c.Settings)
	if err != nil {
		return err
	}
	if c.Check {
		_, err = fmt.Fprintf(env.out, "proxy %s on %s: %d classes, %d routes, %d servers listed, %d coordinators\n",
			config.UID, config.Listen, len(config.Forwarding.ClassNames), len(config.Routes),
			len(config.Forwarding.Locations), len(config.Coordinators))
		return err
	}
	return service.ServeProxy(config, env.log, terminationSignal())
}
