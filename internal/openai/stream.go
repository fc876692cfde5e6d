package openai

import (
	"encoding/json"
	"net/http"
)

// StreamWriter sends a response as server-sent events. A complete stream ends with "data: [DONE]";
// a failed one ends with an error event instead.
type StreamWriter struct {
	response Response
	writer   http.ResponseWriter
	started  bool
}

// NewStreamWriter returns a writer that sends the response headers with the first event, so that a
// failure before it can still set the HTTP status.
func NewStreamWriter(writer http.ResponseWriter, response Response) *StreamWriter {
	return &StreamWriter{response: response, writer: writer}
}

// Token sends the text of one token.
func (s *StreamWriter) Token(text string) error {
	next := choice{}
	if s.response.Endpoint == Chat {
		next.Delta = &messageDelta{Content: &text}
		if !s.started {
			next.Delta.Role = roleAssistant
		}
	} else {
		next.Text = &text
	}
	return s.send(s.response.body(true, next))
}

// Finish ends a complete stream with the finish reason and, if requested, the usage.
func (s *StreamWriter) Finish(reason string, usage Usage) error {
	last := choice{FinishReason: &reason}
	if s.response.Endpoint == Chat {
		last.Delta = &messageDelta{}
	} else {
		last.Text = new(string)
	}
	if err := s.send(s.response.body(true, last)); err != nil {
		return err
	}
	if s.response.IncludeUsage {
		body := s.response.body(true)
		body.Choices = []choice{}
		body.Usage = usage.body()
		if err := s.send(body); err != nil {
			return err
		}
	}
	return s.write([]byte("[DONE]"))
}

// Fail ends the response with an error: as an error response if nothing was sent yet, otherwise as
// an event of the stream.
func (s *StreamWriter) Fail(failure *Failure) error {
	if !s.started {
		return s.response.WriteFailure(s.writer, failure)
	}
	return s.send(failure.body())
}

func (s *StreamWriter) send(body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return s.write(data)
}

func (s *StreamWriter) write(data []byte) error {
	s.start()
	setWriteDeadline(s.writer, s.response.WriteTimeout)
	event := make([]byte, 0, len(data)+len("data: \n\n"))
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := s.writer.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(s.writer).Flush()
}

func (s *StreamWriter) start() {
	if s.started {
		return
	}
	s.started = true
	header := s.writer.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	header.Set(HeaderRequestID, string(s.response.RequestID))
	s.writer.WriteHeader(http.StatusOK)
}
