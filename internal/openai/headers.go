package openai

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Limits of header values.
const (
	maxDeadline       = 24 * time.Hour
	maxIdempotencyKey = 255
	maxRequestID      = 64
	bearerScheme      = "bearer"
)

// Options holds the settings that a request's headers specify.
type Options struct {
	// Class is the priority class; empty selects the tenant's default.
	Class         fleet.ClassName
	NotRepeatable bool
	// Deadline is the time allowed for the response; 0 means no deadline.
	Deadline       time.Duration
	IdempotencyKey string
}

// ParseKey returns the API key of the Authorization header.
func ParseKey(header http.Header) (string, *Failure) {
	scheme, key, _ := strings.Cut(header.Get(HeaderAuthorization), " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, bearerScheme) || key == "" {
		return "", &Failure{Code: resultcode.MissingKey, Message: "send the header Authorization: Bearer KEY"}
	}
	return key, nil
}

// ParseOptions parses the headers that extend the OpenAI API.
func ParseOptions(header http.Header) (Options, *Failure) {
	var options Options
	for _, name := range []string{HeaderClass, HeaderNotRepeatable, HeaderDeadline, HeaderIdempotencyKey} {
		if len(header.Values(name)) > 1 {
			return Options{}, invalidHeader(name, "must be given once")
		}
	}
	options.Class = fleet.ClassName(header.Get(HeaderClass))
	if value := header.Get(HeaderNotRepeatable); value != "" {
		parsed, err := strconv.ParseBool(value)
		if err != nil {
			return Options{}, invalidHeader(HeaderNotRepeatable, "must be true or false")
		}
		options.NotRepeatable = parsed
	}
	if value := header.Get(HeaderDeadline); value != "" {
		millis, err := strconv.ParseInt(value, 10, 64)
		if err != nil || millis < 1 || millis > maxDeadline.Milliseconds() {
			return Options{}, invalidHeader(HeaderDeadline, "must be a whole number of milliseconds from 1 to 86400000")
		}
		options.Deadline = time.Duration(millis) * time.Millisecond
	}
	options.IdempotencyKey = header.Get(HeaderIdempotencyKey)
	if len(options.IdempotencyKey) > maxIdempotencyKey {
		return Options{}, invalidHeader(HeaderIdempotencyKey, "is longer than 255 bytes")
	}
	return options, nil
}

// ParseRequestID returns the request ID that the caller sent, or "". It isn't necessarily unique.
func ParseRequestID(header http.Header) (string, *Failure) {
	id := header.Get(HeaderRequestID)
	if len(id) > maxRequestID || strings.ContainsFunc(id, isInvalidIDChar) {
		return "", invalidHeader(HeaderRequestID, "must be at most 64 letters, digits, '-' and '_'")
	}
	return id, nil
}

// isInvalidIDChar reports whether a character is not allowed in a request ID.
func isInvalidIDChar(char rune) bool {
	switch {
	case 'a' <= char && char <= 'z', 'A' <= char && char <= 'Z', '0' <= char && char <= '9':
		return false
	default:
		return char != '-' && char != '_'
	}
}

func invalidHeader(name, message string) *Failure {
	return &Failure{Code: resultcode.HeaderInvalid, Message: name + " " + message, Param: name}
}
