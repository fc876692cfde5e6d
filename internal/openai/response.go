package openai

import (
	"net/http"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Response holds the properties of the response to one request.
type Response struct {
	Endpoint  Endpoint
	RequestID fleet.RequestID
	// Model is the model name as requested.
	Model        string
	Created      time.Time
	IncludeUsage bool
	// WriteTimeout limits each write to the client; 0 means no limit.
	WriteTimeout time.Duration
}

type responseBody struct {
	ID      string     `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"`
	Model   string     `json:"model"`
	Choices []choice   `json:"choices"`
	Usage   *usageBody `json:"usage,omitempty"`
}

type choice struct {
	Index        int           `json:"index"`
	Message      *messageBody  `json:"message,omitempty"`
	Delta        *messageDelta `json:"delta,omitempty"`
	Text         *string       `json:"text,omitempty"`
	Logprobs     *struct{}     `json:"logprobs"`
	FinishReason *string       `json:"finish_reason"`
}

type messageBody struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type messageDelta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type usageBody struct {
	PromptTokens        int                `json:"prompt_tokens"`
	CompletionTokens    int                `json:"completion_tokens"`
	TotalTokens         int                `json:"total_tokens"`
	PromptTokensDetails promptTokensDetail `json:"prompt_tokens_details"`
}

type promptTokensDetail struct {
	CachedTokens int `json:"cached_tokens"`
}

// body returns the JSON form of the usage.
func (u Usage) body() *usageBody {
	return &usageBody{
		PromptTokens:        u.PromptTokens,
		CompletionTokens:    u.CompletionTokens,
		TotalTokens:         u.PromptTokens + u.CompletionTokens,
		PromptTokensDetails: promptTokensDetail{CachedTokens: u.CachedTokens},
	}
}

// body returns the JSON form of a response with the given choices. If chunk is set, it is one event
// of a stream.
func (r Response) body(chunk bool, choices ...choice) responseBody {
	body := responseBody{
		ID:      "cmpl-" + string(r.RequestID),
		Object:  "text_completion",
		Created: r.Created.Unix(),
		Model:   r.Model,
		Choices: choices,
	}
	if r.Endpoint != Chat {
		return body
	}
	body.ID = "chatcmpl-" + string(r.RequestID)
	body.Object = "chat.completion"
	if chunk {
		body.Object = "chat.completion.chunk"
	}
	return body
}

// WriteCompletion sends the complete output as a single JSON response.
func (r Response) WriteCompletion(writer http.ResponseWriter, text, reason string, usage Usage) error {
	completion := choice{FinishReason: &reason}
	if r.Endpoint == Chat {
		completion.Message = &messageBody{Role: roleAssistant, Content: text}
	} else {
		completion.Text = &text
	}
	body := r.body(false, completion)
	body.Usage = usage.body()
	setWriteDeadline(writer, r.WriteTimeout)
	return writeJSON(writer, http.StatusOK, r.RequestID, body)
}

// WriteFailure sends an error response, within WriteTimeout.
func (r Response) WriteFailure(writer http.ResponseWriter, failure *Failure) error {
	setWriteDeadline(writer, r.WriteTimeout)
	return WriteFailure(writer, failure)
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelBody `json:"data"`
}

type modelBody struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// WriteModels sends the list of models in the given order.
func WriteModels(writer http.ResponseWriter, id fleet.RequestID, names []string) error {
	list := modelList{Object: "list", Data: make([]modelBody, 0, len(names))}
	for _, name := range names {
		list.Data = append(list.Data, modelBody{ID: name, Object: "model", OwnedBy: "tillerfall"})
	}
	return writeJSON(writer, http.StatusOK, id, list)
}
