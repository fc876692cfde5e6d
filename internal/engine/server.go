package engine

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// WriteError answers a request with an error body and the status that fits its
// code.
func WriteError(writer http.ResponseWriter, failure *Error) {
	body := ErrorBody{Error: failure.Code, Message: failure.Message, Incarnation: failure.Incarnation}
	writeJSON(writer, httpStatus(failure.Code), body)
}

// WriteResponse answers a request with a JSON body.
func WriteResponse(writer http.ResponseWriter, body any) {
	writeJSON(writer, http.StatusOK, body)
}

// ReadRequest decodes a JSON body of at most maxBytes.
func ReadRequest(request *http.Request, maxBytes int64, body any) error {
	data, err := io.ReadAll(io.LimitReader(request.Body, maxBytes+1))
	if err != nil {
		return errors.Wrap(err, "read body")
	}
	if int64(len(data)) > maxBytes {
		return &Error{Code: ErrorBadRequest, Message: "body over the limit", Sent: true}
	}
	if err := json.Unmarshal(data, body); err != nil {
		return &Error{Code: ErrorBadRequest, Message: err.Error(), Sent: true}
	}
	return nil
}

// writeJSON ignores a failed write: the peer is gone and learns nothing.
func writeJSON(writer http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(data)
}
