// Command bergamotrudder serves multi-stage model pipelines.
package main

import (
	"context"
	"os"

	"bergamotrudder.example/bergamotrudder/internal/cli"
	"bergamotrudder.example/bergamotrudder/internal/demo"
	"bergamotrudder.example/bergamotrudder/internal/roles"
	"bergamotrudder.example/bergamotrudder/pkg/settings"
	"bergamotrudder.example/bergamotrudder/platform"
)

func main() {
	d := platform.Dialect()
	os.Exit(cli.Main(cli.Runners{
		Entry:   roles.RunEntry,
		Sidecar: roles.RunSidecar,
		Gateway: func(ctx context.Context, cfg *settings.Gateway, reload func() (*settings.Gateway, error)) error {
			return roles.RunGateway(ctx, cfg, reload, d)
		},
		Dialect: &d,
		Demo: func(ctx context.Context, o cli.DemoOptions) error {
			_, err := demo.Run(ctx, demo.Options{Seed: o.Seed, JSON: o.JSON, Out: o.Out})
			return err
		},
	}))
}
