package cli

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/load"
	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// callerKeyVariable is the environment variable of the organisation's key, used without a
// key file.
const callerKeyVariable = "BERGAMOTRUDDER_CLIENT_CALLER_KEY"

// Run sends the load and prints the report.
func (c *loadCommand) Run(a *app) error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	g, err := load.New(cfg)
	if err != nil {
		return &usageError{cause: err}
	}
	report := g.Run(a.ctx)
	if a.json {
		return report.WriteJSON(a.out)
	}
	return report.WriteText(a.out)
}

func (c *loadCommand) config() (load.Config, error) {
	cfg := load.Config{Seed: c.Seed, Retries: c.Retries, MaxInFlight: c.MaxInFlight}
	for _, target := range c.Target {
		a, err := netip.ParseAddrPort(target)
		if err != nil || a.Port() == 0 {
			return cfg, usageErrorf("%q is not an IP address with a port from 1 to 65535", target)
		}
		cfg.Targets = append(cfg.Targets, "http://"+a.String())
	}
	for _, text := range c.Phase {
		phase, err := parsePhase(text)
		if err != nil {
			return cfg, err
		}
		cfg.Phases = append(cfg.Phases, phase)
	}
	if c.Mix != "" {
		mix, err := readMix(c.Mix)
		cfg.Mix = mix
		return cfg, err
	}
	share, err := c.share()
	cfg.Mix = []load.RequestClass{share}
	return cfg, err
}

func (c *loadCommand) share() (load.RequestClass, error) {
	share := load.RequestClass{
		Pipeline:   c.Pipeline,
		Deadline:   c.Deadline,
		MaxTokens:  c.MaxTokens,
		Stream:     c.Stream,
		Keyed:      c.Keyed,
		Ticket:     c.Ticket,
		Idempotent: c.Idempotent,
	}
	priority, err := fleet.ParsePriority(c.Priority)
	if err != nil {
		return share, &usageError{cause: err}
	}
	share.Priority = priority
	share.Key, err = readKey(c.KeyFile, callerKeyVariable)
	return share, err
}

// parsePhase parses a phase of the form RATE@DURATION.
func parsePhase(text string) (load.Phase, error) {
	rate, duration, _ := strings.Cut(text, "@")
	perSecond, err := strconv.ParseFloat(rate, 64)
	if err != nil || !(perSecond >= 0 && perSecond <= maxLoadRate) {
		return load.Phase{}, usageErrorf("phase %q: the rate must be 0 to %d requests/s", text, maxLoadRate)
	}
	d, err := time.ParseDuration(duration)
	if err != nil || d <= 0 {
		return load.Phase{}, usageErrorf("phase %q: the duration must be above 0, such as 30s", text)
	}
	return load.Phase{Rate: perSecond, Duration: d}, nil
}
