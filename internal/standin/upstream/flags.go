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
	Capacity     int           `help:"Number of calls in flight that are sustained when warm." default:"16"`
	ColdCapacity int           `help:"Number of calls in flight that are sustained when cold; 0 is 20 % of the capacity."`
	Slots        int           `help:"Number of calls that run concurrently, while others wait; 0 is the capacity."`
	QueueLimit   int           `help:"Number of waiting calls from which calls are rejected with status 429; 0 is no limit."`
	WarmUp       time.Duration `help:"Total time with calls in flight after which the stand-in is warm." default:"10s"`
	LinearWarmUp bool          `help:"Increase the effective capacity in proportion to the warmth instead of in one step at the end of the warm-up."`
	ColdSlowdown float64       `help:"Factor on the duration of work while cold." default:"2"`
	Tolerance    time.Duration `help:"How long more calls than the effective capacity are sustained before a collapse."`
	ColdGrace    time.Duration `help:"How long more calls than the effective capacity are sustained after the stand-in became cold without notice."`
	FallOver     time.Duration `help:"How long all calls fail after a collapse." default:"5s"`
	StartWarm    bool          `help:"Skip the warm-up after the first start, but not after a restart."`
	Seed         uint64        `help:"Seed of the selection of failing calls."`
	SlowFactor   float64       `help:"Fault: factor on the duration of all work."`
	FailRatio    float64       `help:"Fault: fraction of the calls that fail immediately, 0 to 1."`
	FailStatus   int           `help:"Fault: status of those calls; 0 is 500."`
	FailStated   bool          `help:"Fault: responses of those calls state that they did not run."`
	Hang         bool          `help:"Fault: accept calls and never respond."`
	CutStreams   bool          `help:"Fault: truncate streams after half of their tokens."`
	CutReplies   bool          `help:"Fault: truncate responses after half of their bytes."`
	DropReplies  bool          `help:"Fault: close the connection instead of sending a response."`
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
