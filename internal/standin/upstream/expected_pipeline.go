package upstream

import (
	"encoding/json"
	"slices"

	"github.com/pkg/errors"

	"bergamotrudder.example/bergamotrudder/pkg/fleet"
)

// ExpectedStage models the output of one step of a pipeline that runs on stand-ins.
type ExpectedStage struct {
	// Stage is the name of the stage.
	Stage    string
	Protocol fleet.Protocol
	// Kind is the Kind of the services of a json stage.
	Kind string
	// Tokens is the length in tokens of the responses of the engines of a chat stage.
	Tokens int
	// Padding is the Padding of the services of a json stage.
	Padding int
}

// ExpectedPipeline models the output of a pipeline that runs on stand-ins.
type ExpectedPipeline []ExpectedStage

// Output returns the JSON value that the pipeline must return for the input when the
// stages in skipped were skipped. A maxTokens above 0 limits the length of chat outputs.
func (p ExpectedPipeline) Output(input json.RawMessage, maxTokens int, skipped []string) (json.RawMessage, error) {
	value := input
	for _, stage := range p {
		if slices.Contains(skipped, stage.Stage) {
			continue
		}
		next, err := stage.output(value, maxTokens)
		if err != nil {
			return nil, errors.Wrapf(err, "stage %s", stage.Stage)
		}
		value = next
	}
	return value, nil
}

// LastStageInput returns the JSON input of the last stage when no stage is skipped.
func (p ExpectedPipeline) LastStageInput(input json.RawMessage, maxTokens int) (json.RawMessage, error) {
	return p[:len(p)-1].Output(input, maxTokens, nil)
}

// Check returns an error when output is not the complete output of the pipeline for the input.
func (p ExpectedPipeline) Check(input, output json.RawMessage, maxTokens int, skipped []string) error {
	want, err := p.Output(input, maxTokens, skipped)
	if err != nil {
		return err
	}
	if got, expected := Digest(output), Digest(want); got != expected {
		return errors.Errorf("the output has digest %s, want %s", got, expected)
	}
	return nil
}

func (s ExpectedStage) output(input json.RawMessage, maxTokens int) (json.RawMessage, error) {
	switch s.Protocol {
	case fleet.ProtocolChat:
		n := s.Tokens
		if maxTokens > 0 {
			n = min(n, maxTokens)
		}
		return json.Marshal(ChatOutput(contentOf(input), n))
	case fleet.ProtocolEmbeddings:
		return json.Marshal(EmbeddingOutput(input))
	default:
		return json.Marshal(ServiceOutput(s.Kind, input, s.Padding))
	}
}

// contentOf returns the chat content that package engine derives from the input.
func contentOf(input json.RawMessage) string {
	var text string
	if err := json.Unmarshal(input, &text); err == nil && string(input) != "null" {
		return text
	}
	return string(input)
}
