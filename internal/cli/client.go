package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/internal/operator"
)

// keyVariable is the environment variable of the operators' key, used without a key file.
const keyVariable = "BERGAMOTRUDDER_CLIENT_KEY"

func (f *keyFlags) client(address string) (*operator.Client, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 {
		return nil, usageErrorf("%q is not an IP address with a port from 1 to 65535", address)
	}
	key, err := readKey(f.KeyFile, keyVariable)
	if err != nil {
		return nil, err
	}
	return operator.NewClient(a.String(), key), nil
}

// readKey returns the key from the file, or from the environment variable if file is
// empty.
func readKey(file, variable string) (string, error) {
	key := os.Getenv(variable)
	if file != "" {
		b, err := os.ReadFile(file)
		if err != nil {
			return "", errors.WithStack(err)
		}
		key = string(b)
	}
	key = strings.TrimSpace(key)
	if key == "" {
		return "", usageErrorf("the key is missing; use --key-file or %s", variable)
	}
	return key, nil
}

// withTimeout returns a context with the timeout of one call.
func (f *keyFlags) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, f.Timeout)
}

// printf writes text to w. Errors are ignored: on a closed output SIGPIPE ends the
// process.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// printJSON writes one indented JSON value.
func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return errors.WithStack(enc.Encode(v))
}

// readInput reads the file, or in if the name is -. More than limit bytes are an error.
func readInput(in io.Reader, name string, limit int64) ([]byte, error) {
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	b, err := io.ReadAll(io.LimitReader(in, limit+1))
	if err != nil {
		return nil, errors.Wrapf(err, "reading %s", name)
	}
	if int64(len(b)) > limit {
		return nil, usageErrorf("%s has more than the allowed %d bytes", name, limit)
	}
	return b, nil
}
