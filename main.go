// Command bergamotrudder serves multi-stage model pipelines.
package main

import (
	"os"

	"bergamotrudder.example/bergamotrudder/internal/cli"
	"bergamotrudder.example/bergamotrudder/internal/roles"
)

func main() {
	os.Exit(cli.Main(cli.Runners{
		Entry:   roles.RunEntry,
		Sidecar: roles.RunSidecar,
	}))
}
