package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/availability"
	"bergamotrudder.example/bergamotrudder/internal/gateway"
	"bergamotrudder.example/bergamotrudder/internal/intake"
	"bergamotrudder.example/bergamotrudder/internal/rollout"
)

// maxGatewayStateBytes bounds the state of a gateway: a few hundred bytes for each of some
// thousand upstreams.
const maxGatewayStateBytes = 16 << 20

// runGateway prints the status of a gateway.
func (c *statusCommand) runGateway(a *app) error {
	if address, err := netip.ParseAddrPort(c.Gateway); err != nil || address.Port() == 0 {
		return usageErrorf("%q is not an IP address with a port from 1 to 65535", c.Gateway)
	}
	ctx, cancel := c.withTimeout(a.ctx)
	defer cancel()
	state, err := fetchGatewayState(ctx, c.Gateway)
	if err != nil {
		return err
	}
	if a.json {
		return printJSON(a.out, state)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	c.printGateway(w, state)
	return w.Flush()
}

func fetchGatewayState(ctx context.Context, address string) (*gateway.State, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/state", nil)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "fetching the state")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("the gateway responded with status %d", resp.StatusCode)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxGatewayStateBytes))
	if err != nil {
		return nil, errors.Wrap(err, "reading the state")
	}
	state := &gateway.State{}
	return state, errors.Wrap(json.Unmarshal(b, state), "decoding the state")
}

func (c *statusCommand) printGateway(w io.Writer, s *gateway.State) {
	store := "in contact with the store"
	if s.StoreLost {
		store = "without the store"
	}
	printf(w, "%s: generation %d, %s\n", s.Instance, s.Generation, store)
	printf(w, "\nQUARANTINED PARTS\tSERVICE\tCRASHES\tREFUSED\tLEFT\n")
	for _, q := range s.Quarantine {
		left := "on probation"
		if q.LeftMs > 0 {
			left = milliseconds(q.LeftMs)
		}
		printf(w, "%s\t%s\t%d\t%d\t%s\n", strings.Join(q.Parts, " "), q.Service, q.Crashes, q.Refused, left)
	}
	printIntake(w, &s.Intake)
	printServices(w, s.Services)
	printRollouts(w, s.Rollouts)
	printf(w, "\nCLOSED UPSTREAM\tSERVICE\tREASON\tFOR\tREQUEST\tAGE\n")
	for _, u := range s.Closed {
		printf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", u.ID, u.Service, u.Reason, closedTime(u.ClosedMs), u.Request, milliseconds(u.AgeMs))
	}
	printf(w, "\nLIMITED UPSTREAM\tSERVICE\tA SECOND\tOWN PART\tNEXT TURN\tREQUEST\tAGE\n")
	for _, u := range s.Limits {
		printf(w, "%s\t%s\t%.2f\t%.2f\t%s\t%s\t%s\n", u.ID, u.Service, u.PerSecond, u.OwnPerSecond, milliseconds(u.NextMs), u.Request, milliseconds(u.AgeMs))
	}
	printf(w, "\nGATEWAY\tSTATE\tFAILURE DOMAIN\tADDRESS\n")
	for _, g := range s.Gateways {
		printf(w, "%s\t%s\t%s\t%s\n", g.Name, gatewayState(g.Live, g.Leaving), g.FailureDomain, g.Address)
	}
	printf(w, "\nUPSTREAM\tSERVICE\tFAILURE DOMAIN\tRUNNING\tFAILURES\tBACK-OFF\n")
	hidden := 0
	for _, u := range s.Upstreams {
		if u.RestingMs == 0 && u.FailedShare < failedShareShown && !c.All {
			hidden++
			continue
		}
		printf(w, "%s\t%s\t%s\t%d\t%.0f%%\t%s\n", u.ID, u.Service, u.FailureDomain, u.Running, u.FailedShare*100, milliseconds(u.RestingMs))
	}
	if hidden > 0 {
		printf(w, "%s\n", fmt.Sprintf("%d more work without failures", hidden))
	}
}

// printIntake prints what is held for callers, and what was refused.
func printIntake(w io.Writer, s *intake.State) {
	printf(w, "\nHELD FOR CALLERS\tMB\tLIMIT\n")
	printf(w, "ordinary\t%.1f\t%.1f\n", megabytes(s.OrdinaryHeldBytes), megabytes(s.OrdinaryLimitBytes))
	printf(w, "bulk\t%.1f\t%.1f\n", megabytes(s.BulkHeldBytes), megabytes(s.BulkLimitBytes))
	printf(w, "\nCALLERS OUTSIDE THE LIMITS\tREFUSED OR ENDED\n")
	for _, cause := range slices.Sorted(maps.Keys(s.Refusals)) {
		if n := s.Refusals[cause]; n > 0 {
			printf(w, "%s\t%d\n", cause, n)
		}
	}
}

func megabytes(n int64) float64 { return float64(n) / (1 << 20) }

// printServices prints the services with upstreams that may not be sent to.
func printServices(w io.Writer, services []availability.ServiceState) {
	printf(w, "\nSERVICE\tUPSTREAMS\tOPEN\tCLOSED\tFIRST BACK IN\n")
	for _, s := range services {
		if s.Open == s.Upstreams {
			continue
		}
		var reasons []string
		for reason, n := range s.ByReason {
			reasons = append(reasons, fmt.Sprintf("%d %s", n, reason))
		}
		slices.Sort(reasons)
		firstBack := ""
		if s.Open == 0 {
			firstBack = closedTime(s.ClosedMs)
		}
		printf(w, "%s\t%d\t%d\t%s\t%s\n", s.Service, s.Upstreams, s.Open, strings.Join(reasons, ", "), firstBack)
	}
}

// printRollouts prints the orders to move services to new versions.
func printRollouts(w io.Writer, rollouts []rollout.OrderState) {
	printf(w, "\nROLL-OUT\tTO\tSTATE\tSHARE\tAGE\tOF\tNEW BAD\tNEW FIRST BYTE\tOLD BAD\tOLD FIRST BYTE\tLEFT\tDECIDER\tREASON\n")
	for _, r := range rollouts {
		state := r.Stage
		if r.Verdict != rollout.None {
			state = string(r.Verdict)
		}
		printf(w, "%s\t%s\t%s\t%.0f%%\t%s\t%s\t%s\t%.0fms\t%s\t%.0fms\t%d\t%s\t%s\n", r.Service, r.To, state, 100*r.Share, milliseconds(r.AgeMs), milliseconds(r.DurationMs),
			badAnswers(r.New), r.New.FirstByteMs, badAnswers(r.Old), r.Old.FirstByteMs, r.Left, r.Decider, cmp.Or(r.Reason, r.Suspicion))
	}
}

func badAnswers(v rollout.VersionState) string {
	return fmt.Sprintf("%d of %d", v.Failed+v.Broken+v.Spoiled+v.Late, v.Answers)
}

func closedTime(ms int64) string {
	if ms == 0 {
		return "unknown"
	}
	return milliseconds(ms)
}

// failedShareShown is the fraction of recent failures from which on an upstream is listed
// without --all.
const failedShareShown = 0.05

func gatewayState(live, leaving bool) string {
	switch {
	case !live:
		return "lost"
	case leaving:
		return "leaving"
	}
	return "live"
}
