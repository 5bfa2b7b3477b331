package cli

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/operator"
	"bergamotrudder.example/bergamotrudder/pkg/sheet"
)

// statusPollInterval is the interval at which --wait polls the status.
const statusPollInterval = 200 * time.Millisecond

// Run shows the changes, asks for confirmation, applies the sheet and waits for it to be
// in force if --wait is set.
func (c *applyCommand) Run(a *app) error {
	if !c.Yes && !c.DryRun && (a.json || c.Sheet == "-") {
		return usageErrorf("with --json or a sheet from standard input, apply needs --yes or --dry-run")
	}
	b, err := readInput(a.in, c.Sheet, sheet.MaxBytes)
	if err != nil {
		return err
	}
	if _, err := sheet.Parse(bytes.NewReader(b)); err != nil {
		return errors.Wrap(err, c.Sheet)
	}
	client, err := c.client(c.Address)
	if err != nil {
		return err
	}
	result, err := c.put(a, client, b, true)
	if err != nil {
		return err
	}
	if !a.json {
		c.show(a, result)
	}
	if c.DryRun {
		return a.printResult(result)
	}
	if len(result.Changes) > 0 {
		if result, err = c.apply(a, client, b, result); err != nil {
			return err
		}
	}
	if c.Wait {
		if err := c.wait(a, client, result.Generation); err != nil {
			return err
		}
	}
	return a.printResult(result)
}

// printResult prints the result as JSON if --json is set.
func (a *app) printResult(result operator.PutResult) error {
	if !a.json {
		return nil
	}
	return printJSON(a.out, result)
}

func (c *applyCommand) put(a *app, client *operator.Client, b []byte, dryRun bool) (operator.PutResult, error) {
	ctx, cancel := c.withTimeout(a.ctx)
	defer cancel()
	return client.PutSheet(ctx, b, operator.PutOptions{DryRun: dryRun})
}

func (c *applyCommand) apply(a *app, client *operator.Client, b []byte, plan operator.PutResult) (operator.PutResult, error) {
	if !c.Yes && !confirm(a, len(plan.Changes)) {
		return plan, errors.New("nothing was applied")
	}
	result, err := c.put(a, client, b, false)
	var lost *operator.NoResponseError
	if errors.As(err, &lost) {
		return result, errors.Wrap(err, "it is unknown whether the sheet was applied; apply it again: rows that are in force change nothing")
	}
	if err == nil && !a.json {
		printf(a.out, "accepted as generation %d\n", result.Generation)
	}
	return result, err
}

func (c *applyCommand) show(a *app, plan operator.PutResult) {
	if len(plan.Changes) == 0 {
		printf(a.out, "nothing to change, generation %d is in force\n", plan.Generation)
		return
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	printf(w, "ROW\tKIND\tNAME\tFIELD\tFROM\tTO\n")
	for _, ch := range plan.Changes {
		printf(w, "%d\t%s\t%s\t%s\t%s\t%s\n", ch.Row, ch.Kind, ch.Name, ch.Field, ch.From, ch.To)
	}
	_ = w.Flush()
}

func confirm(a *app, changes int) bool {
	printf(a.out, "Apply %d changes? [y/N] ", changes)
	line, err := bufio.NewReader(a.in).ReadString('\n')
	if err != nil && line == "" {
		return false
	}
	switch strings.ToLower(strings.TrimSpace(line)) {
	case "y", "yes":
		return true
	}
	return false
}

// wait waits until the generation is in force in every live process.
func (c *applyCommand) wait(a *app, client *operator.Client, generation uint64) error {
	ctx, cancel := context.WithTimeout(a.ctx, c.WaitTimeout)
	defer cancel()
	last := "no status was received"
	for {
		status, err := client.Status(ctx)
		switch {
		case err == nil && len(status.OutdatedProcesses(generation)) == 0:
			if !a.json {
				printf(a.out, "generation %d is in force in %d processes\n", generation, len(status.Processes))
			}
			return nil
		case err == nil:
			last = outdatedText(status.OutdatedProcesses(generation))
		case ctx.Err() == nil:
			last = err.Error()
		}
		select {
		case <-time.After(statusPollInterval):
		case <-ctx.Done():
			return errors.Errorf("generation %d was accepted, but is not known to be in force everywhere: %s", generation, last)
		}
	}
}

func outdatedText(outdated []operator.ProcessStatus) string {
	const shown = 5
	texts := make([]string, 0, shown)
	for _, p := range outdated[:min(shown, len(outdated))] {
		texts = append(texts, p.Name+" has generation "+generationText(p.Generation))
	}
	if n := len(outdated) - shown; n > 0 {
		texts = append(texts, fmt.Sprintf("%d more are outdated", n))
	}
	return strings.Join(texts, ", ")
}
