// Command faultproxy runs a TCP proxy that injects faults; package faultproxy describes it.
//
//	go run ./internal/standin/cmd/faultproxy --listen 127.0.0.1:9001 --target 127.0.0.1:9000 --admin 127.0.0.1:9002
package main

import (
	"context"
	"net"
	"os"

	"github.com/alecthomas/kong"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/standin/faultproxy"
	"bergamotrudder.example/bergamotrudder/internal/standin/upstream"
)

type options struct {
	Listen           string  `help:"Address to listen on." default:"127.0.0.1:0"`
	Target           string  `help:"Address to pass connections on to." required:""`
	Admin            string  `help:"Address of the admin listener." default:"127.0.0.1:0"`
	Seed             uint64  `help:"Seed of the choice of connections and of jitter."`
	Ratio            float64 `help:"Fault: share of connections that are hit, 0 to 1; 0 is all."`
	DelayMs          float64 `help:"Fault: delay of each direction in milliseconds."`
	JitterMs         float64 `help:"Fault: largest addition to the delay in milliseconds."`
	Refuse           bool    `help:"Fault: reset new connections."`
	HoldRequests     bool    `help:"Fault: deliver nothing to the target."`
	HoldReplies      bool    `help:"Fault: deliver nothing to the client."`
	BlackHole        bool    `help:"Fault: deliver nothing."`
	DropReplies      bool    `help:"Fault: cut a connection when a reply comes."`
	HalfCloseClient  bool    `help:"Fault: end the stream to the client after a request."`
	HalfCloseTarget  bool    `help:"Fault: end the stream to the target after a request."`
	TruncateReplies  int64   `help:"Fault: cut a connection after this many bytes of replies."`
	TruncateRequests int64   `help:"Fault: cut a connection after this many bytes of requests."`
	Reset            bool    `help:"Fault: cuts show as a reset."`
}

func (o options) faults() faultproxy.Faults {
	return faultproxy.Faults{
		Ratio:            o.Ratio,
		DelayMs:          o.DelayMs,
		JitterMs:         o.JitterMs,
		Refuse:           o.Refuse,
		HoldRequests:     o.HoldRequests,
		HoldReplies:      o.HoldReplies,
		BlackHole:        o.BlackHole,
		DropReplies:      o.DropReplies,
		HalfCloseClient:  o.HalfCloseClient,
		HalfCloseTarget:  o.HalfCloseTarget,
		TruncateReplies:  o.TruncateReplies,
		TruncateRequests: o.TruncateRequests,
		Reset:            o.Reset,
	}
}

func run(o options, logger *log.Logger) error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", o.Listen)
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	logger.Info().Str("address", l.Addr().String()).Str("target", o.Target).Msg("proxying")
	p := faultproxy.New(faultproxy.Config{Target: o.Target, Seed: o.Seed})
	defer p.Close()
	p.SetFaults(o.faults())
	go func() { _ = p.Serve(l) }()
	return upstream.Serve(o.Admin, p.Admin(), logger)
}

func main() {
	var o options
	kong.Parse(&o, kong.Description("Runs a TCP proxy that injects faults."))
	logger := &log.Logger{Writer: &log.IOWriter{Writer: os.Stderr}}
	if err := run(o, logger); err != nil {
		logger.Error().Err(err).Msg("faultproxy failed")
		os.Exit(1)
	}
}
