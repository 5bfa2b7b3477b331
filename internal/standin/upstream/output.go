package upstream

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of 16 hexadecimal digits that depends on the JSON value and
// not on its white space, escapes or member order. Text that is not JSON is hashed as is.
func Digest(value []byte) string {
	var v any
	if err := json.Unmarshal(value, &v); err == nil {
		if canonical, err := json.Marshal(v); err == nil {
			value = canonical
		}
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(value))
}

// contentDigest returns the digest of the input that a chat content was built from.
func contentDigest(content string) string {
	trimmed := strings.TrimSpace(content)
	if json.Valid([]byte(trimmed)) {
		return Digest([]byte(trimmed))
	}
	quoted, _ := json.Marshal(content)
	return Digest(quoted)
}

// ChatTokens returns the tokens of the response to a chat content. The first contains
// the digest and the number of tokens and the last repeats the digest, so a truncated
// response is never mistaken for a complete one.
func ChatTokens(content string, n int) []string {
	n = max(1, n)
	digest := contentDigest(content)
	tokens := make([]string, n)
	tokens[0] = digest + "/" + strconv.Itoa(n)
	for i := 1; i < n-1; i++ {
		tokens[i] = " " + strconv.Itoa(i)
	}
	if n > 1 {
		tokens[n-1] = " " + digest
	}
	return tokens
}

// ChatOutput returns the content of the response of n tokens to a chat content.
func ChatOutput(content string, n int) string { return strings.Join(ChatTokens(content, n), "") }

// EmbeddingOutput returns the embedding of a JSON value.
func EmbeddingOutput(input []byte) []float64 {
	seed := xxhash.Sum64String(Digest(input))
	values := make([]float64, EmbeddingSize)
	for i := range values {
		values[i] = float64(uint8(seed>>(8*i))) / 256
	}
	return values
}

// ServiceResponse is the response body of a plain service.
type ServiceResponse struct {
	// Service is the kind of the service.
	Service string `json:"service"`
	// Digest is the Digest of the input.
	Digest string `json:"digest"`
	// Padding increases the size of the response.
	Padding string `json:"padding,omitempty"`
}

// ServiceOutput returns the response body of a service of the kind to a JSON value.
func ServiceOutput(kind string, input []byte, padding int) ServiceResponse {
	return ServiceResponse{Service: kind, Digest: Digest(input), Padding: strings.Repeat("x", padding)}
}
