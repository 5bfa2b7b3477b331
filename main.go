// Command bergamotrudder serves multi-stage model pipelines.
package main

import (
	"context"
	"os"

	"bergamotrudder.example/bergamotrudder/internal/cli"
	"bergamotrudder.example/bergamotrudder/internal/demo"
	"bergamotrudder.example/bergamotrudder/internal/roles"
)

func main() {
	os.Exit(cli.Main(cli.Runners{
		Entry:   roles.RunEntry,
		Sidecar: roles.RunSidecar,
		Demo: func(ctx context.Context, o cli.DemoOptions) error {
			_, err := demo.Run(ctx, demo.Options{Seed: o.Seed, JSON: o.JSON, Out: o.Out})
			return err
		},
	}))
}
