package cli

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/operator"
)

// Run prints the status. Without --all, active upstreams and processes with the
// generation in force are only counted.
func (c *statusCommand) Run(a *app) error {
	switch {
	case c.Gateway != "":
		return c.runGateway(a)
	case c.Address == "":
		return usageErrorf("missing flags: --address=IP:PORT or --gateway=IP:PORT")
	}
	client, err := c.client(c.Address)
	if err != nil {
		return err
	}
	ctx, cancel := c.withTimeout(a.ctx)
	defer cancel()
	if c.Sheet {
		return c.printSheet(ctx, a, client)
	}
	status, err := client.Status(ctx)
	if err != nil {
		return err
	}
	if a.json {
		return printJSON(a.out, status)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	c.print(w, status)
	return w.Flush()
}

func (c *statusCommand) printSheet(ctx context.Context, a *app, client *operator.Client) error {
	b, err := client.Sheet(ctx)
	if err != nil {
		return err
	}
	_, err = a.out.Write(b)
	return errors.WithStack(err)
}

func (c *statusCommand) print(w io.Writer, s operator.Status) {
	printf(w, "%s: generation %d, last contact with the store %s ago\n", s.Instance, s.Generation, milliseconds(s.StoreContactAgeMs))
	printf(w, "\nPIPELINE\tIN FLIGHT\tQUEUED\tEXPECTED\tDEADLINE\n")
	for _, p := range s.Pipelines {
		printf(w, "%s\t%d\t%d\t%s\t%s\n", p.Name, p.InFlight, p.Queued, milliseconds(p.ExpectedMs), milliseconds(p.DeadlineMs))
	}
	printf(w, "\nFAILURE DOMAIN\tREGION\tSERVICE\tUPSTREAMS\tSTATES\n")
	for _, d := range s.FailureDomains {
		service := "in"
		if d.OutOfService {
			service = "out"
		}
		printf(w, "%s\t%s\t%s\t%d\t%s\n", d.Name, d.Region, service, d.Upstreams, stateCounts(d.States))
	}
	c.printUpstreams(w, s)
	c.printProcesses(w, s)
}

func (c *statusCommand) printUpstreams(w io.Writer, s operator.Status) {
	printf(w, "\nUPSTREAM\tSTAGE\tFAILURE DOMAIN\tSTATE\tREASON\tIN FLIGHT\tLIMIT\tCAPACITY\tFAILURES\n")
	hidden := 0
	for _, u := range s.Upstreams {
		if u.State == operator.StateActive && !c.All {
			hidden++
			continue
		}
		printf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%.0f%%\n",
			u.Name, u.Stage, u.FailureDomain, u.State, reason(u), u.InFlight, u.Limit, u.Capacity, u.FailureRate*100)
	}
	if hidden > 0 {
		printf(w, "%d more are active\n", hidden)
	}
}

func reason(u operator.UpstreamStatus) string {
	if u.EjectedForMs > 0 {
		return fmt.Sprintf("%s, for %s", u.Reason, milliseconds(u.EjectedForMs))
	}
	return u.Reason
}

func (c *statusCommand) printProcesses(w io.Writer, s operator.Status) {
	printf(w, "\nPROCESS\tROLE\tFAILURE DOMAIN\tADDRESS\tPHASE\tGENERATION\n")
	hidden := 0
	for _, p := range s.Processes {
		if p.Generation >= s.Generation && !c.All {
			hidden++
			continue
		}
		printf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", p.Name, p.Role, p.FailureDomain, p.Address, p.Phase, generationText(p.Generation))
	}
	if hidden > 0 {
		printf(w, "%d more have generation %d\n", hidden, s.Generation)
	}
}

func generationText(generation uint64) string {
	if generation == 0 {
		return "none or no answer"
	}
	return strconv.FormatUint(generation, 10)
}

func stateCounts(states map[operator.UpstreamState]int) string {
	parts := make([]string, 0, len(states))
	for state, n := range states {
		parts = append(parts, fmt.Sprintf("%d %s", n, state))
	}
	slices.Sort(parts)
	return strings.Join(parts, ", ")
}

func milliseconds(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }
