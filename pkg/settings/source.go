package settings

import (
	"bytes"
	"io"
	"os"

	"github.com/pkg/errors"
)

// SecretSource is the source of a secret: a file or an environment variable.
type SecretSource struct {
	file   string
	env    string
	lookup func(name string) (string, bool)
}

// File returns the path of the secret's file, or empty.
func (s SecretSource) File() string { return s.file }

// Env returns the name of the secret's environment variable, or empty.
func (s SecretSource) Env() string { return s.env }

// IsSet reports whether a file or an environment variable is set.
func (s SecretSource) IsSet() bool { return s.file != "" || s.env != "" }

// Read returns the secret without surrounding white space. Files are reread on each
// call, because platforms rotate them. A secret that is missing, empty or longer than
// MaxSecretBytes is an error.
func (s SecretSource) Read() (string, error) {
	if s.file != "" {
		return s.readFile()
	}
	v, ok := s.lookup(s.env)
	if !ok {
		return "", errors.Errorf("environment variable %s is not set", s.env)
	}
	return s.trim([]byte(v), "environment variable "+s.env)
}

func (s SecretSource) readFile() (string, error) {
	f, err := os.Open(s.file)
	if err != nil {
		return "", errors.WithStack(err)
	}
	defer func() { _ = f.Close() }()
	b, err := io.ReadAll(io.LimitReader(f, MaxSecretBytes+1))
	if err != nil {
		return "", errors.WithStack(err)
	}
	return s.trim(b, s.file)
}

func (s SecretSource) trim(b []byte, from string) (string, error) {
	if len(b) > MaxSecretBytes {
		return "", errors.Errorf("%s is longer than %d bytes", from, MaxSecretBytes)
	}
	b = bytes.TrimSpace(b)
	if len(b) == 0 {
		return "", errors.Errorf("%s is empty", from)
	}
	return string(b), nil
}
