package upstream

import (
	"context"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
)

// Flags are the kong flags shared by the stand-in commands.
type Flags struct {
	Listen       string        `help:"Address to listen on." default:"127.0.0.1:0"`
	Name         string        `help:"Name that begins the identity." default:"standin"`
	Capacity     int           `help:"Calls in flight that are borne when warm." default:"16"`
	ColdCapacity int           `help:"Calls in flight that are borne when cold; 0 is 20 % of the capacity."`
	Slots        int           `help:"Calls that are worked on at once; 0 is the capacity."`
	QueueLimit   int           `help:"Waiting calls above which 429 is answered; 0 is no limit."`
	WarmUp       time.Duration `help:"Time with calls in flight until warm." default:"10s"`
	LinearWarmUp bool          `help:"Bear more calls in proportion to the warmth."`
	ColdSlowdown float64       `help:"Factor on the time of work while cold." default:"2"`
	Tolerance    time.Duration `help:"Time that too many calls are borne."`
	ColdGrace    time.Duration `help:"Time that too many calls are borne after a cold turn without a sign."`
	FallOver     time.Duration `help:"Time that all calls fail after too many." default:"5s"`
	StartWarm    bool          `help:"Start warm."`
	Seed         uint64        `help:"Seed of the choice of failing calls."`
	SlowFactor   float64       `help:"Fault: factor on the time of all work."`
	FailRatio    float64       `help:"Fault: share of the calls that fail at once, 0 to 1."`
	FailStatus   int           `help:"Fault: status of those calls; 0 is 500."`
	FailStated   bool          `help:"Fault: those calls say that they did not run."`
	Hang         bool          `help:"Fault: accept calls and never answer."`
	CutStreams   bool          `help:"Fault: cut streams after half of their tokens."`
	CutReplies   bool          `help:"Fault: cut replies after half of their bytes."`
	DropReplies  bool          `help:"Fault: close the connection in place of a reply."`
	LoadLagMs    int64         `help:"Fault: age of load reports in milliseconds."`
	CacheGap     bool          `help:"Fault: drop every second cache event."`
	CacheLagMs   int64         `help:"Fault: age of cache events in milliseconds."`
}

// Load returns the load model that the flags describe.
func (f Flags) Load() LoadConfig {
	return LoadConfig{
		Capacity:     f.Capacity,
		ColdCapacity: f.ColdCapacity,
		Slots:        f.Slots,
		WarmUp:       f.WarmUp,
		LinearWarmUp: f.LinearWarmUp,
		ColdSlowdown: f.ColdSlowdown,
		Tolerance:    f.Tolerance,
		ColdGrace:    f.ColdGrace,
		CollapseTime: f.FallOver,
		StartWarm:    f.StartWarm,
		QueueLimit:   f.QueueLimit,
		Seed:         f.Seed,
	}
}

// Faults returns the faults that the flags describe.
func (f Flags) Faults() Faults {
	return Faults{
		SlowFactor:  f.SlowFactor,
		FailRatio:   f.FailRatio,
		FailStatus:  f.FailStatus,
		FailStated:  f.FailStated,
		Hang:        f.Hang,
		CutStreams:  f.CutStreams,
		CutReplies:  f.CutReplies,
		DropReplies: f.DropReplies,
		LoadLagMs:   f.LoadLagMs,
		CacheGap:    f.CacheGap,
		CacheLagMs:  f.CacheLagMs,
	}
}

// Serve serves h on the listen address until the process gets SIGINT or SIGTERM.
func Serve(listen string, h http.Handler, logger *log.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	logger.Info().Str("address", l.Addr().String()).Msg("listening")
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serving")
	}
	return nil
}
