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
	Target           string  `help:"Address to forward connections to." required:""`
	Admin            string  `help:"Address of the admin listener." default:"127.0.0.1:0"`
	Seed             uint64  `help:"Seed of the selection of connections and of jitter."`
	Ratio            float64 `help:"Fault: fraction of connections, 0 to 1, that the faults affect; 0 is all."`
	DelayMs          float64 `help:"Fault: delay of each direction in milliseconds."`
	JitterMs         float64 `help:"Fault: largest addition to the delay in milliseconds."`
	Refuse           bool    `help:"Fault: reset new connections."`
	HoldRequests     bool    `help:"Fault: block delivery to the target."`
	HoldReplies      bool    `help:"Fault: block delivery to the client."`
	BlackHole        bool    `help:"Fault: block delivery in both directions."`
	DropReplies      bool    `help:"Fault: cut a connection when the first byte of a reply arrives."`
	HalfCloseClient  bool    `help:"Fault: end the stream to the client instead of delivering a reply and keep the other direction open."`
	HalfCloseTarget  bool    `help:"Fault: end the stream to the target after the first bytes of a request and keep the other direction open."`
	TruncateReplies  int64   `help:"Fault: cut a connection after this number of bytes of replies; 0 is no truncation."`
	TruncateRequests int64   `help:"Fault: cut a connection after this number of bytes of requests; 0 is no truncation."`
	Reset            bool    `help:"Fault: cuts appear to the client as a TCP reset instead of the end of the stream."`
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
