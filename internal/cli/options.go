package cli

import (
	"context"
	"io"
	"time"

	"bergamotrudder.example/bergamotrudder/internal/dialect"
	"bergamotrudder.example/bergamotrudder/pkg/settings"
)

// maxLoadRate is the maximum rate of a phase of the load command, in requests per second.
const maxLoadRate = 100_000

// Runners are the functions of the commands that run processes. Each returns when ctx
// has ended and the shutdown is complete, or with an error.
type Runners struct {
	Entry   func(ctx context.Context, cfg *settings.Entry) error
	Sidecar func(ctx context.Context, cfg *settings.Sidecar) error
	// Gateway is called with a function that reloads the settings.
	Gateway func(ctx context.Context, cfg *settings.Gateway, reload func() (*settings.Gateway, error)) error
	Demo    func(ctx context.Context, o DemoOptions) error
	// Dialect is the format of the configurations and the store that the check command reads.
	// Without it, check --configuration is refused.
	Dialect *dialect.Dialect
}

// DemoOptions are the parameters of the embedded demonstration.
type DemoOptions struct {
	// Seed makes the random choices of the demonstration reproducible.
	Seed uint64
	// JSON prints the result as one JSON object.
	JSON bool
	Out  io.Writer
}

// options are the commands and flags that don't depend on Runners.
type options struct {
	JSON bool `name:"json" help:"Print results as one JSON value."`

	Check  checkCommand  `cmd:"" help:"Check settings files and sheets without a connection, or a configuration of gateways before it is sent."`
	Apply  applyCommand  `cmd:"" help:"Apply a sheet through an entry's operators' API."`
	Status statusCommand `cmd:"" help:"Show pipelines, failure domains, upstreams and processes as one entry sees them, or the status of a gateway."`
	Dump   dumpCommand   `cmd:"" help:"Print the state of one process as JSON."`
	Load   loadCommand   `cmd:"" help:"Send requests to entries at seeded random times and report how they ended."`
}

type checkCommand struct {
	Files         []string `arg:"" optional:"" name:"file" help:"Settings files (JSON with comments, with a member \"role\") and sheets (.csv)."`
	Configuration string   `placeholder:"FILE" help:"Configuration of gateways as it stands in the platform's store (JSON), or - for standard input."`
	Against       string   `placeholder:"FILE|IP:PORT" help:"With --configuration: the version in force, as a file or the address of the platform's store, to show what differs by what callers notice."`
	Table         string   `enum:",entry,sidecar,gateway" default:"" placeholder:"ROLE" help:"Print the settings of the role (entry, sidecar or gateway) with units, ranges and defaults."`
}

type applyCommand struct {
	Sheet       string        `arg:"" help:"CSV file, or - for standard input."`
	Yes         bool          `short:"y" help:"Apply without asking."`
	DryRun      bool          `help:"Show the changes and apply nothing."`
	Wait        bool          `help:"Wait until the accepted generation is in force in every live process."`
	WaitTimeout time.Duration `default:"10s" help:"Longest time that --wait waits."`
	entryFlags
}

type statusCommand struct {
	Sheet   bool   `help:"Print the current sheet as CSV instead."`
	All     bool   `short:"a" help:"List active upstreams and up-to-date processes too."`
	Gateway string `placeholder:"IP:PORT" help:"IP address and port of a gateway's metrics listener, to show the status of that gateway instead. No key is needed."`
	Address string `env:"BERGAMOTRUDDER_CLIENT_ADDRESS" placeholder:"IP:PORT" help:"IP address and port of an entry's operators' listener; this or --gateway."`
	keyFlags
}

type dumpCommand struct {
	Address  string `arg:"" name:"addr" help:"IP address and port of an entry's operators' listener."`
	Instance string `help:"Name of another instance, whose state the entry fetches."`
	keyFlags
}

type loadCommand struct {
	Target      []string      `required:"" placeholder:"IP:PORT" help:"IP address and port of an entry's callers' listener. May be repeated; requests take turns."`
	Pipeline    string        `xor:"mix" required:"" help:"Pipeline that is called."`
	Mix         string        `xor:"mix" required:"" placeholder:"FILE" help:"JSON file with comments that lists pipelines with organisations, priorities and weights, in place of --pipeline."`
	Phase       []string      `default:"100@10s" placeholder:"RATE@DURATION" help:"Mean requests per second and for how long. May be repeated; phases follow each other."`
	Priority    string        `default:"normal" help:"Priority of the requests: batch, normal, high or critical."`
	Deadline    time.Duration `default:"3s" help:"Deadline of each request."`
	MaxTokens   int           `help:"Bound on generated tokens; 0 leaves it to the engine."`
	Stream      bool          `help:"Ask for streamed answers."`
	Keyed       bool          `help:"Send a new idempotency key with each request."`
	Ticket      bool          `help:"Get a ticket for each request and send it as the key."`
	Idempotent  bool          `help:"Send requests again after an unknown outcome."`
	Retries     int           `default:"0" help:"Further entries that are tried for one request within its deadline."`
	MaxInFlight int           `default:"20000" help:"Requests in flight; arrivals beyond it are counted as not sent."`
	Seed        uint64        `default:"1" help:"Seed of the random times and inputs."`
	KeyFile     string        `placeholder:"FILE" help:"File with the organisation's key. Without it, the key is taken from BERGAMOTRUDDER_CLIENT_CALLER_KEY."`
}

type entryFlags struct {
	Address string `required:"" env:"BERGAMOTRUDDER_CLIENT_ADDRESS" placeholder:"IP:PORT" help:"IP address and port of an entry's operators' listener."`
	keyFlags
}

type keyFlags struct {
	KeyFile string        `env:"BERGAMOTRUDDER_CLIENT_KEY_FILE" placeholder:"FILE" help:"File with the operators' key. Without it, the key is taken from BERGAMOTRUDDER_CLIENT_KEY."`
	Timeout time.Duration `default:"10s" help:"Longest time for one call."`
}

type settingsFlags struct {
	Settings string   `short:"s" env:"BERGAMOTRUDDER_SETTINGS" placeholder:"FILE" help:"Settings file, JSON with comments."`
	Set      []string `sep:"none" placeholder:"NAME=VALUE" help:"Override one setting. May be repeated."`
}

type entryCommand struct{ settingsFlags }

type sidecarCommand struct{ settingsFlags }

type gatewayCommand struct{ settingsFlags }

type demoCommand struct {
	Seed uint64 `default:"1" help:"Seed of the random choices."`
}

// Help returns examples.
func (*checkCommand) Help() string {
	return "Examples:\n  bergamotrudder check entry.json morning.csv\n  bergamotrudder check --table=entry\n" +
		"  bergamotrudder check --configuration=next.json\n" +
		"  bergamotrudder check --configuration=next.json --against=10.0.0.9:8188 --json"
}

// Help returns examples.
func (*applyCommand) Help() string {
	return "The sheet's rows are checked against the generation that it was exported from. " +
		"A sheet may be applied again after a lost response: rows that are in force change nothing.\n\n" +
		"Examples:\n  bergamotrudder apply morning.csv --address=10.0.0.1:8081 --key-file=key --dry-run\n" +
		"  bergamotrudder apply morning.csv --address=10.0.0.1:8081 --key-file=key --yes --wait"
}

// Help returns examples.
func (*statusCommand) Help() string {
	return "Examples:\n  bergamotrudder status --address=10.0.0.1:8081 --key-file=key\n" +
		"  bergamotrudder status --address=10.0.0.1:8081 --key-file=key --all --json\n" +
		"  bergamotrudder status --address=10.0.0.1:8081 --key-file=key --sheet > morning.csv\n" +
		"  bergamotrudder status --gateway=10.0.1.4:9464"
}

// Help returns examples.
func (*dumpCommand) Help() string {
	return "Examples:\n  bergamotrudder dump 10.0.0.1:8081 --key-file=key\n" +
		"  bergamotrudder dump 10.0.0.1:8081 --key-file=key --instance=sidecar-7"
}

// Help returns an example.
func (*loadCommand) Help() string {
	return "The load is open-loop: requests are sent at their scheduled times regardless of earlier ones, and latency is measured from the scheduled time.\n\n" +
		"Example:\n  bergamotrudder load --target=127.0.0.1:8080 --pipeline=diagnosis --key-file=key --phase=70@30s --phase=210@5s"
}

// Help returns an example.
func (*entryCommand) Help() string {
	return "Example:\n  bergamotrudder entry --settings=entry.json --set=logLevel=debug"
}

// Help returns an example.
func (*sidecarCommand) Help() string {
	return "Example:\n  bergamotrudder sidecar --settings=sidecar.json --set=upstream.address=127.0.0.1:9000"
}

// Help returns an example.
func (*gatewayCommand) Help() string {
	return "Example:\n  bergamotrudder gateway --settings=gateway.json"
}
