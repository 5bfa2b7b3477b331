package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"bergamotrudder.example/bergamotrudder/internal/catalog"
	"bergamotrudder.example/bergamotrudder/internal/catalogcheck"
	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/pkg/platform"
)

// storeCallTimeout is the longest time for reading the version in force, as long as the other
// commands wait for one call by default.
const storeCallTimeout = 10 * time.Second

// configurationResult is the result of the check of one configuration.
type configurationResult struct {
	File     string                 `json:"file"`
	Kind     string                 `json:"kind"`
	Valid    bool                   `json:"valid"`
	Findings []configurationFinding `json:"findings"`
	Against  string                 `json:"against,omitempty"`
	// Changes is null without a version to compare with, or if the file can't be decoded.
	Changes []configurationChange `json:"changes"`
}

type configurationFinding struct {
	Severity catalogcheck.Severity `json:"severity"`
	Rule     catalogcheck.Rule     `json:"rule"`
	Path     string                `json:"path"`
	Subject  string                `json:"subject,omitempty"`
	Reason   string                `json:"reason"`
}

type configurationChange struct {
	Effect  catalogcheck.Effect `json:"effect"`
	Path    string              `json:"path"`
	Subject string              `json:"subject,omitempty"`
	Detail  string              `json:"detail"`
}

// configuration checks a configuration and compares it with the version in force.
func (c *checkCommand) configuration(a *app) error {
	d := a.runners.Dialect
	switch {
	case d == nil:
		return usageErrorf("this program reads no configurations of gateways")
	case len(c.Files) > 0:
		return usageErrorf("--configuration and other files can't be checked together")
	case c.Configuration == "-" && c.Against == "-":
		return usageErrorf("only one configuration can come from standard input")
	}
	b, err := readInput(a.in, c.Configuration, platform.MaxObjectBytes)
	if err != nil {
		return err
	}
	r := &configurationResult{File: c.Configuration, Kind: "configuration", Against: c.Against, Findings: []configurationFinding{}}
	next, err := d.Configuration(b)
	if err != nil {
		r.Findings = append(r.Findings, decodingFinding(b, err))
		return r.report(a)
	}
	r.addFindings(d, catalogcheck.Check(&next))
	if c.Against != "" {
		current, err := c.inForce(a, d)
		if err != nil {
			return err
		}
		r.addFindings(d, catalogcheck.CheckSuccessor(&current, &next))
		r.addChanges(d, catalogcheck.Compare(&current, &next))
	}
	return r.report(a)
}

// inForce returns the configuration that Against names: the store's if it is an address.
func (c *checkCommand) inForce(a *app, d *dialect.Dialect) (catalog.Configuration, error) {
	address, err := netip.ParseAddrPort(c.Against)
	if err != nil {
		b, err := readInput(a.in, c.Against, platform.MaxObjectBytes)
		if err != nil {
			return catalog.Configuration{}, err
		}
		cfg, err := d.Configuration(b)
		if err != nil {
			return cfg, &usageError{cause: errors.Wrap(err, c.Against)}
		}
		return cfg, nil
	}
	if address.Port() == 0 {
		return catalog.Configuration{}, usageErrorf("%q is not an IP address with a port from 1 to 65535", c.Against)
	}
	client := platform.New(platform.Config{BaseURL: "http://" + address.String(), CallTimeout: storeCallTimeout, Wire: d.Store}, &http.Client{
		Transport: &http.Transport{DisableCompression: true, MaxResponseHeaderBytes: platform.MaxResponseHeaderBytes},
	}, tally.NoopScope)
	object, err := client.Get(a.ctx, platform.ShareConfiguration, platform.KindConfiguration, d.ConfigurationName)
	if err != nil {
		return catalog.Configuration{}, errors.Wrap(err, "reading the version in force")
	}
	cfg, err := d.Configuration(object.Spec)
	return cfg, errors.Wrap(err, "the version in force")
}

func (r *configurationResult) addFindings(d *dialect.Dialect, findings []catalogcheck.Finding) {
	for _, f := range findings {
		r.Findings = append(r.Findings, configurationFinding{Severity: f.Severity, Rule: f.Rule, Path: d.ConfigurationPath(f.Path), Subject: f.Subject, Reason: f.Reason})
	}
}

func (r *configurationResult) addChanges(d *dialect.Dialect, changes []catalogcheck.Change) {
	r.Changes = make([]configurationChange, 0, len(changes))
	for _, c := range changes {
		r.Changes = append(r.Changes, configurationChange{Effect: c.Effect, Path: d.ConfigurationPath(c.Path), Subject: c.Subject, Detail: c.Detail})
	}
}

// decodingFinding describes why the configuration can't be decoded, with its line if the error
// states a place.
func decodingFinding(b []byte, err error) configurationFinding {
	f := configurationFinding{Severity: catalogcheck.SeverityError, Rule: catalogcheck.RuleFormat, Reason: err.Error()}
	var (
		syntax    *json.SyntaxError
		wrongType *json.UnmarshalTypeError
	)
	switch {
	case errors.As(err, &syntax):
		f.Reason = fmt.Sprintf("line %d: %v", lineAt(b, syntax.Offset), syntax)
	case errors.As(err, &wrongType):
		f.Path = wrongType.Field
		f.Reason = fmt.Sprintf("line %d: is a JSON %s, allowed is %s", lineAt(b, wrongType.Offset), wrongType.Value, wrongType.Type)
	}
	return f
}

func lineAt(b []byte, offset int64) int {
	return 1 + bytes.Count(b[:min(offset, int64(len(b)))], []byte("\n"))
}

// report prints the result. Errors of the configuration are the exit code's invalid input.
func (r *configurationResult) report(a *app) error {
	failed := 0
	for _, f := range r.Findings {
		if f.Severity == catalogcheck.SeverityError {
			failed++
		}
	}
	r.Valid = failed == 0
	if a.json {
		if err := printJSON(a.out, r); err != nil {
			return err
		}
	} else if err := r.print(a, len(r.Findings)-failed); err != nil {
		return err
	}
	if !r.Valid {
		return &reportedError{code: ExitUsage}
	}
	return nil
}

func (r *configurationResult) print(a *app, warnings int) error {
	for _, f := range r.Findings {
		w := a.out
		if f.Severity == catalogcheck.SeverityError {
			w = a.errOut
		}
		location := r.File
		if f.Path != "" {
			location += ": " + f.Path
		}
		if f.Subject != "" {
			location += " of " + f.Subject
		}
		printf(w, "%s: %s: %s\n", location, f.Severity, f.Reason)
	}
	if r.Valid {
		printf(a.out, "%s: valid configuration, warnings: %d\n", r.File, warnings)
	}
	if r.Changes == nil {
		return nil
	}
	if len(r.Changes) == 0 {
		printf(a.out, "nothing differs from %s\n", r.Against)
		return nil
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	printf(w, "\nEFFECT\tOF\tAT\tDETAIL\n")
	for _, c := range r.Changes {
		printf(w, "%s\t%s\t%s\t%s\n", c.Effect, c.Subject, c.Path, c.Detail)
	}
	return w.Flush()
}
