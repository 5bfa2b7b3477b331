package upstream

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Digest returns 16 hexadecimal digits that depend on the JSON value and not on
// its white space, escapes or member order. Text that is no JSON is taken as it is.
func Digest(value []byte) string {
	var v any
	if err := json.Unmarshal(value, &v); err == nil {
		if canonical, err := json.Marshal(v); err == nil {
			value = canonical
		}
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(value))
}

// contentDigest is the digest of the input that a chat content was made from.
func contentDigest(content string) string {
	trimmed := strings.TrimSpace(content)
	if json.Valid([]byte(trimmed)) {
		return Digest([]byte(trimmed))
	}
	quoted, _ := json.Marshal(content)
	return Digest(quoted)
}

// ChatTokens returns the tokens of the answer to a chat content. The first holds
// the digest and the number of tokens and the last repeats the digest, so a part
// of an answer is never a whole one.
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

// ChatOutput returns the content of the answer of n tokens to a chat content.
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

// ServiceResponse is the document that a plain service answers.
type ServiceResponse struct {
	// Service is the kind of the service.
	Service string `json:"service"`
	// Digest is the Digest of the input.
	Digest string `json:"digest"`
	// Padding makes the reply larger.
	Padding string `json:"padding,omitempty"`
}

// ServiceOutput returns the document that the service of the kind answers to a JSON value.
func ServiceOutput(kind string, input []byte, padding int) ServiceResponse {
	return ServiceResponse{Service: kind, Digest: Digest(input), Padding: strings.Repeat("x", padding)}
}
