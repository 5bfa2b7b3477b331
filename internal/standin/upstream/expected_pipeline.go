package upstream

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// ExpectedStage is one step of a pipeline as the stand-ins answer it.
type ExpectedStage struct {
	// Stage is the name of the stage.
	Stage    string
	Protocol fleet.Protocol
	// Kind is the Kind of the services of a json stage.
	Kind string
	// Tokens is the length of the answers of the engines of a chat stage.
	Tokens int
	// Padding is the Padding of the services of a json stage.
	Padding int
}

// ExpectedPipeline is a whole pipeline as the stand-ins answer it.
type ExpectedPipeline []ExpectedStage

// Output returns the JSON value that the pipeline must answer to the input when the
// stages in skipped were skipped. A maxTokens above 0 shortens the chat answers.
func (c ExpectedPipeline) Output(input json.RawMessage, maxTokens int, skipped []string) (json.RawMessage, error) {
	value := input
	for _, link := range c {
		if slices.Contains(skipped, link.Stage) {
			continue
		}
		next, err := link.output(value, maxTokens)
		if err != nil {
			return nil, errors.Wrapf(err, "stage %s", link.Stage)
		}
		value = next
	}
	return value, nil
}

// LastStageInput returns the JSON value that the last stage gets when no stage is skipped.
func (c ExpectedPipeline) LastStageInput(input json.RawMessage, maxTokens int) (json.RawMessage, error) {
	return c[:len(c)-1].Output(input, maxTokens, nil)
}

// Check returns an error when output is not the whole answer of the pipeline to the input.
func (c ExpectedPipeline) Check(input, output json.RawMessage, maxTokens int, skipped []string) error {
	want, err := c.Output(input, maxTokens, skipped)
	if err != nil {
		return err
	}
	if got, expected := Digest(output), Digest(want); got != expected {
		return errors.Errorf("the output has digest %s, want %s", got, expected)
	}
	return nil
}

func (l ExpectedStage) output(input json.RawMessage, maxTokens int) (json.RawMessage, error) {
	switch l.Protocol {
	case fleet.ProtocolChat:
		n := l.Tokens
		if maxTokens > 0 {
			n = min(n, maxTokens)
		}
		return json.Marshal(ChatOutput(contentOf(input), n))
	case fleet.ProtocolEmbeddings:
		return json.Marshal(EmbeddingOutput(input))
	default:
		return json.Marshal(ServiceOutput(l.Kind, input, l.Padding))
	}
}

// contentOf returns the chat content that package engine makes from the input.
func contentOf(input json.RawMessage) string {
	var text string
	if err := json.Unmarshal(input, &text); err == nil && string(input) != "null" {
		return text
	}
	return string(input)
}
