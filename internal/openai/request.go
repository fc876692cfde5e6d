package openai

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

// Upper limits of the API's parameters.
const (
	maxTemperature = 2
	maxTopP        = 1
)

// embeddedPrefix is the prefix of fields of the embedded sharedBody in errors of encoding/json.
const embeddedPrefix = "sharedBody."

// sharedBody holds the fields that both endpoints have. Unknown fields are ignored, as in the
// OpenAI API. Fields that would affect the output but aren't supported by the engines are rejected.
type sharedBody struct {
	Model               *string         `json:"model"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              *bool           `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	Choices             *int            `json:"n"`
	Temperature         *float64        `json:"temperature"`
	TopP                *float64        `json:"top_p"`
	Stop                json.RawMessage `json:"stop"`
}

type streamOptions struct {
	IncludeUsage *bool `json:"include_usage"`
}

type chatBody struct {
	sharedBody
	Messages []message `json:"messages"`
}

type completionBody struct {
	sharedBody
	// Prompt is a string or a list. An interface takes fewer passes to decode a long string than a
	// json.RawMessage.
	Prompt any   `json:"prompt"`
	BestOf *int  `json:"best_of"`
	Echo   *bool `json:"echo"`
}

// ParseRequest decodes and validates the request body for an endpoint.
func ParseRequest(endpoint Endpoint, body []byte) (Request, *Failure) {
	if endpoint == Chat {
		return parseChat(body)
	}
	return parseCompletion(body)
}

func parseChat(data []byte) (Request, *Failure) {
	var body chatBody
	if failure := decode(data, &body); failure != nil {
		return Request{}, failure
	}
	request, failure := body.request(Chat)
	if failure != nil {
		return Request{}, failure
	}
	request.Prompt, failure = renderMessages(body.Messages)
	return request, failure
}

func parseCompletion(data []byte) (Request, *Failure) {
	var body completionBody
	if failure := decode(data, &body); failure != nil {
		return Request{}, failure
	}
	request, failure := body.request(Completion)
	if failure != nil {
		return Request{}, failure
	}
	if body.BestOf != nil && *body.BestOf != 1 {
		return Request{}, invalidParameter("best_of", "best_of must be 1")
	}
	if body.Echo != nil && *body.Echo {
		return Request{}, invalidParameter("echo", "echo is not supported")
	}
	request.Prompt, failure = parsePrompt(body.Prompt)
	return request, failure
}

// decode decodes a JSON object. The failure's message states the invalid field or the offset.
func decode(data []byte, target any) *Failure {
	if trimmed := bytes.TrimSpace(data); len(trimmed) == 0 || trimmed[0] != '{' {
		return malformedBody("", "the body must be a JSON object")
	}
	err := json.Unmarshal(data, target)
	var typeError *json.UnmarshalTypeError
	var syntaxError *json.SyntaxError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &typeError):
		field := strings.TrimPrefix(typeError.Field, embeddedPrefix)
		return malformedBody(field, fmt.Sprintf("%q can't be a %s", field, typeError.Value))
	case errors.As(err, &syntaxError):
		return malformedBody("", fmt.Sprintf("malformed JSON at offset %d: %s", syntaxError.Offset, syntaxError.Error()))
	default:
		return malformedBody("", "malformed JSON: "+err.Error())
	}
}

// request validates the shared fields and converts them to a Request without a prompt.
func (b *sharedBody) request(endpoint Endpoint) (Request, *Failure) {
	if failure := b.check(); failure != nil {
		return Request{}, failure
	}
	request := Request{Endpoint: endpoint, Model: *b.Model}
	if b.MaxTokens != nil {
		request.MaxTokens = *b.MaxTokens
	}
	if b.MaxCompletionTokens != nil {
		request.MaxTokens = *b.MaxCompletionTokens
	}
	request.Stream = b.Stream != nil && *b.Stream
	options := b.StreamOptions
	request.IncludeUsage = options != nil && options.IncludeUsage != nil && *options.IncludeUsage
	return request, nil
}

func (b *sharedBody) check() *Failure {
	switch {
	case b.Model == nil || *b.Model == "":
		return invalidParameter("model", "model is required")
	case b.MaxTokens != nil && *b.MaxTokens < 1:
		return invalidParameter("max_tokens", "max_tokens must be at least 1")
	case b.MaxCompletionTokens != nil && *b.MaxCompletionTokens < 1:
		return invalidParameter("max_completion_tokens", "max_completion_tokens must be at least 1")
	case b.Choices != nil && *b.Choices != 1:
		return invalidParameter("n", "n must be 1")
	case isOutsideRange(b.Temperature, maxTemperature):
		return invalidParameter("temperature", fmt.Sprintf("temperature must be between 0 and %d", maxTemperature))
	case isOutsideRange(b.TopP, maxTopP):
		return invalidParameter("top_p", fmt.Sprintf("top_p must be between 0 and %d", maxTopP))
	case !isAbsent(b.Stop) && string(b.Stop) != "[]":
		return invalidParameter("stop", "stop sequences are not supported")
	}
	return nil
}

// isOutsideRange reports whether a value is present and outside the range from 0 to highest.
func isOutsideRange(value *float64, highest float64) bool {
	return value != nil && (*value < 0 || *value > highest)
}

// isAbsent reports whether a field is missing or null.
func isAbsent(value json.RawMessage) bool {
	return len(value) == 0 || string(value) == "null"
}

// parsePrompt returns the prompt of a string or a list of one string.
func parsePrompt(value any) (string, *Failure) {
	switch value := value.(type) {
	case nil:
		return "", invalidParameter("prompt", "prompt is required")
	case string:
		return nonEmptyPrompt(value)
	case []any:
		return parsePromptList(value)
	default:
		return "", malformedBody("prompt", invalidPromptMessage)
	}
}

const invalidPromptMessage = "prompt must be a string or a list of one string"

func parsePromptList(list []any) (string, *Failure) {
	for _, entry := range list {
		if _, isText := entry.(string); !isText {
			return "", malformedBody("prompt", invalidPromptMessage)
		}
	}
	if len(list) != 1 {
		return "", invalidParameter("prompt", "a list of prompts must have one entry")
	}
	return nonEmptyPrompt(list[0].(string))
}

func nonEmptyPrompt(text string) (string, *Failure) {
	if text == "" {
		return "", invalidParameter("prompt", "prompt must not be empty")
	}
	return text, nil
}
