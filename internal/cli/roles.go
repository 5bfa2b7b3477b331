package cli

import (
	"os"

	"bergamotrudder.example/bergamotrudder/pkg/settings"
)

// Run reads the settings and runs an entry until SIGINT or SIGTERM.
func (c *entryCommand) Run(a *app) error {
	in, err := c.input()
	if err != nil {
		return err
	}
	cfg, err := settings.NewEntry(in)
	if err != nil {
		return err
	}
	return a.runners.Entry(a.ctx, cfg)
}

// Run reads the settings and runs a sidecar until SIGINT or SIGTERM.
func (c *sidecarCommand) Run(a *app) error {
	in, err := c.input()
	if err != nil {
		return err
	}
	cfg, err := settings.NewSidecar(in)
	if err != nil {
		return err
	}
	return a.runners.Sidecar(a.ctx, cfg)
}

// Run reads the settings and runs a gateway until SIGINT or SIGTERM.
func (c *gatewayCommand) Run(a *app) error {
	load := func() (*settings.Gateway, error) {
		in, err := c.input()
		if err != nil {
			return nil, err
		}
		return settings.NewGateway(in)
	}
	cfg, err := load()
	if err != nil {
		return err
	}
	return a.runners.Gateway(a.ctx, cfg, load)
}

// Run runs the demonstration.
func (c *demoCommand) Run(a *app) error {
	return a.runners.Demo(a.ctx, DemoOptions{Seed: c.Seed, JSON: a.json, Out: a.out})
}

func (f *settingsFlags) input() (settings.Input, error) {
	in := settings.Input{File: f.Settings, Environ: os.Environ(), Flags: f.Set}
	if f.Settings == "" {
		return in, nil
	}
	b, err := readInput(nil, f.Settings, settings.MaxFileBytes)
	in.Content = b
	return in, err
}
