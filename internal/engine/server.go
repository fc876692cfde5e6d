package engine

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

// WriteError sends a failure as an ErrorBody with the HTTP status of its code.
func WriteError(writer http.ResponseWriter, failure *Error) {
	body := ErrorBody{Error: failure.Code, Message: failure.Message, Incarnation: failure.Incarnation}
	writeJSON(writer, httpStatus(failure.Code), body)
}

// WriteResponse sends a JSON body with status 200.
func WriteResponse(writer http.ResponseWriter, body any) {
	writeJSON(writer, http.StatusOK, body)
}

// ReadRequest decodes a JSON request body of at most maxBytes into body. A body that is too long or
// malformed yields an *Error with ErrorBadRequest.
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

// writeJSON sends a JSON body. It ignores write errors, because the client can't be notified of
// them.
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
