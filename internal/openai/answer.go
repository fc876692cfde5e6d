package openai

import (
	"net/http"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Response describes the answer to one request.
type Response struct {
	Endpoint  Endpoint
	RequestID fleet.RequestID
	// Model is the name that the caller asked for.
	Model        string
	Created      time.Time
	IncludeUsage bool
	// WriteTimeout bounds each write; 0 means no bound.
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

func (u Usage) body() *usageBody {
	return &usageBody{
		PromptTokens:        u.PromptTokens,
		CompletionTokens:    u.CompletionTokens,
		TotalTokens:         u.PromptTokens + u.CompletionTokens,
		PromptTokensDetails: promptTokensDetail{CachedTokens: u.CachedTokens},
	}
}

func (a Response) body(chunk bool, choices ...choice) responseBody {
	body := responseBody{
		ID:      "cmpl-" + string(a.RequestID),
		Object:  "text_completion",
		Created: a.Created.Unix(),
		Model:   a.Model,
		Choices: choices,
	}
	if a.Endpoint != Chat {
		return body
	}
	body.ID = "chatcmpl-" + string(a.RequestID)
	body.Object = "chat.completion"
	if chunk {
		body.Object = "chat.completion.chunk"
	}
	return body
}

// WriteCompletion answers with the whole output at once.
func (a Response) WriteCompletion(writer http.ResponseWriter, text, reason string, usage Usage) error {
	whole := choice{FinishReason: &reason}
	if a.Endpoint == Chat {
		whole.Message = &messageBody{Role: roleAssistant, Content: text}
	} else {
		whole.Text = &text
	}
	body := a.body(false, whole)
	body.Usage = usage.body()
	setWriteDeadline(writer, a.WriteTimeout)
	return writeJSON(writer, http.StatusOK, a.RequestID, body)
}

// WriteFailure answers with an error in place of the output.
func (a Response) WriteFailure(writer http.ResponseWriter, failure *Failure) error {
	setWriteDeadline(writer, a.WriteTimeout)
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

// WriteModels answers with the names of models, in the given order.
func WriteModels(writer http.ResponseWriter, id fleet.RequestID, names []string) error {
	list := modelList{Object: "list", Data: make([]modelBody, 0, len(names))}
	for _, name := range names {
		list.Data = append(list.Data, modelBody{ID: name, Object: "model", OwnedBy: "tillerfall"})
	}
	return writeJSON(writer, http.StatusOK, id, list)
}
