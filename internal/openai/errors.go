package openai

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
	// ResultCode is the result code as listed in docs/RESULT-CODES.md.
	ResultCode resultcode.Code `json:"result_code"`
	// NotRun is true if the request certainly did not run.
	NotRun    bool            `json:"not_run"`
	RequestID fleet.RequestID `json:"request_id"`
	// RetryAfterMillis is the recommended delay before a retry; 0 means none is recommended.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// body returns the JSON form of the failure.
func (f *Failure) body() errorBody {
	entry := resultcode.Lookup(f.Code)
	detail := errorDetail{
		Message:          f.Message,
		Type:             errorType(entry.Status),
		Code:             entry.Name,
		ResultCode:       f.Code,
		NotRun:           entry.NotRun,
		RequestID:        f.RequestID,
		RetryAfterMillis: f.RetryAfter.Milliseconds(),
	}
	if f.Param != "" {
		detail.Param = &f.Param
	}
	return errorBody{Error: detail}
}

// errorType returns the API's error type for an HTTP status.
func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status >= http.StatusInternalServerError:
		return "server_error"
	default:
		return "invalid_request_error"
	}
}

// WriteFailure sends an error response with the status and headers for the failure.
func WriteFailure(writer http.ResponseWriter, failure *Failure) error {
	header := writer.Header()
	if failure.RetryAfter > 0 {
		seconds := int64(math.Ceil(failure.RetryAfter.Seconds()))
		header.Set(headerRetryAfter, strconv.FormatInt(seconds, 10))
		header.Set(headerRetryAfterMillis, strconv.FormatInt(failure.RetryAfter.Milliseconds(), 10))
	}
	entry := resultcode.Lookup(failure.Code)
	if failure.NotRepeatable && !entry.NotRun {
		header.Set(headerShouldRetry, "false")
	}
	return writeJSON(writer, entry.Status, failure.RequestID, failure.body())
}

func writeJSON(writer http.ResponseWriter, status int, id fleet.RequestID, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	header := writer.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderRequestID, string(id))
	writer.WriteHeader(status)
	_, err = writer.Write(append(data, '\n'))
	return err
}

// setWriteDeadline sets the deadline for writes to a slow client. It has no effect on writers
// without deadline support.
func setWriteDeadline(writer http.ResponseWriter, timeout time.Duration) {
	if timeout > 0 {
		_ = http.NewResponseController(writer).SetWriteDeadline(time.Now().Add(timeout))
	}
}
