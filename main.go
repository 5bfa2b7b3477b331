// Command bergamotrudder serves multi-stage model pipelines.
package main

import (
	"os"

	"bergamotrudder.example/bergamotrudder/internal/cli"
)

func main() { os.Exit(cli.Main(cli.Runners{})) }
