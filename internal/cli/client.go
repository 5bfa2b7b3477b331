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

// keyVariable holds the operators' key when there is no key file.
const keyVariable = "BERGAMOTRUDDER_CLIENT_KEY"

func (f *keyFlags) client(address string) (*operator.Client, error) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 {
		return nil, usage("%q is no IP number with a port of 1 to 65535", address)
	}
	key, err := readKey(f.KeyFile, keyVariable)
	if err != nil {
		return nil, err
	}
	return operator.NewClient(a.String(), key), nil
}

// readKey returns the key in the file, or in the variable when no file is named.
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
		return "", usage("the key is missing; use --key-file or %s", variable)
	}
	return key, nil
}

// within bounds one call.
func (f *keyFlags) within(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, f.Timeout)
}

// printf writes text for people. A closed output ends the program by its signal.
func printf(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }

// printJSON writes one indented JSON value.
func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	return errors.WithStack(enc.Encode(v))
}

// readInput reads at most limit bytes of the file, or of in when the name is -.
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
		return nil, usage("%s has more than the allowed %d bytes", name, limit)
	}
	return b, nil
}
