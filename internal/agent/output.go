package agent

import (
	"net/http"
	"strings"
	"time"

	"github.com/tillerfall/tillerfall/internal/openai"
)

func (a *Agent) newOutput(admitted *admittedRequest, writer http.ResponseWriter) output {
	response := openai.Response{
		Endpoint:     admitted.body.Endpoint,
		RequestID:    admitted.id,
		Model:        admitted.body.Model,
		Created:      time.Now(),
		IncludeUsage: admitted.body.IncludeUsage,
		WriteTimeout: time.Duration(a.settings.HTTP.WriteTimeout),
	}
	if admitted.body.Stream {
		return openai.NewStreamWriter(writer, response)
	}
	return &bufferedOutput{response: response, writer: writer}
}

// bufferedOutput collects the tokens of a response that is not streamed. Its size is limited by the
// model's output limit.
type bufferedOutput struct {
	response openai.Response
	writer   http.ResponseWriter
	text     strings.Builder
}

// Token implements output.
func (w *bufferedOutput) Token(text string) error {
	w.text.WriteString(text)
	return nil
}

// Finish implements output.
func (w *bufferedOutput) Finish(reason string, usage openai.Usage) error {
	return w.response.WriteCompletion(w.writer, w.text.String(), reason, usage)
}

// Fail implements output. Collected tokens are discarded.
func (w *bufferedOutput) Fail(failure *openai.Failure) error {
	return w.response.WriteFailure(w.writer, failure)
}
