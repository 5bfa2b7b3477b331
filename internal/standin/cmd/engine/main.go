// Command engine runs a stand-in for a model engine; package upstream describes it.
//
//	go run ./internal/standin/cmd/engine --listen 127.0.0.1:9000 --capacity 8
package main

import (
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/phuslu/log"

	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
	capability "bergamotrudder.example/bergamotrudder/pkg/engine"
)

type options struct {
	upstream.Flags
	PrefillPerByte time.Duration `help:"Time for each byte of input." default:"2us"`
	PerToken       time.Duration `help:"Time for each generated token." default:"2ms"`
	BatchSlope     float64       `help:"Relative increase of the time per token for each other running call."`
	Tokens         int           `help:"Length of a response in tokens." default:"16"`
	IgnoreFencing  bool          `help:"Accept orders with a stale fencing token."`
	Plain          bool          `help:"Serve only the two OpenAI-compatible calls."`
	Lacks          []string      `help:"Capabilities that are neither described nor served, such as cancel; priority is only left out of the description."`
	ResumeWindow   time.Duration `help:"How long a streamed call continues without its client and its output is stored; 0 disables resuming."`
	DisconnectLag  time.Duration `help:"Delay until the engine detects that the client of a call that is not streamed has disconnected."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Runs a stand-in for a model engine."))
	lacks := make([]capability.Capability, 0, len(o.Lacks))
	for _, name := range o.Lacks {
		lacks = append(lacks, capability.Capability(name))
	}
	logger := &log.Logger{Writer: &log.IOWriter{Writer: os.Stderr}}
	e := upstream.NewEngine(upstream.EngineConfig{
		Name:                 o.Name,
		Load:                 o.Load(),
		PrefillPerByte:       o.PrefillPerByte,
		PerToken:             o.PerToken,
		BatchSlope:           o.BatchSlope,
		Tokens:               o.Tokens,
		IgnoreFencing:        o.IgnoreFencing,
		Plain:                o.Plain,
		DisabledCapabilities: lacks,
		ResumeWindow:         o.ResumeWindow,
		DisconnectLag:        o.DisconnectLag,
	})
	e.SetFaults(o.Faults())
	if err := upstream.Serve(o.Listen, e, logger); err != nil {
		logger.Error().Err(err).Msg("engine failed")
		os.Exit(1)
	}
}
