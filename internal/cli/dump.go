package cli

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"
)

// Run prints the state of the entry, or of another instance, which the entry fetches.
func (c *dumpCommand) Run(a *app) error {
	client, err := c.client(c.Address)
	if err != nil {
		return err
	}
	ctx, cancel := c.withTimeout(a.ctx)
	defer cancel()
	b, err := client.Dump(ctx, c.Instance)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, b, "", "  "); err != nil {
		return errors.Wrap(err, "the dump is not valid JSON")
	}
	out.WriteByte('\n')
	_, err = a.out.Write(out.Bytes())
	return errors.WithStack(err)
}
