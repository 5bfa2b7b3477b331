// Command service runs a stand-in for a plain service; package upstream describes it.
//
//	go run ./internal/standin/cmd/service --listen 127.0.0.1:9100 --kind dispatch
package main

import (
	"os"
	"time"

	"github.com/alecthomas/kong"
	"github.com/phuslu/log"

	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
)

type options struct {
	upstream.Flags
	Kind    string        `help:"Kind that is part of each response." default:"lookup"`
	Time    time.Duration `help:"Duration of one call." default:"5ms"`
	Padding int           `help:"Number of bytes added to each response."`
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Runs a stand-in for a plain service."))
	logger := &log.Logger{Writer: &log.IOWriter{Writer: os.Stderr}}
	s := upstream.NewService(upstream.ServiceConfig{
		Name:    o.Name,
		Kind:    o.Kind,
		Load:    o.Load(),
		Time:    o.Time,
		Padding: o.Padding,
	})
	s.SetFaults(o.Faults())
	if err := upstream.Serve(o.Listen, s, logger); err != nil {
		logger.Error().Err(err).Msg("service failed")
		os.Exit(1)
	}
}
