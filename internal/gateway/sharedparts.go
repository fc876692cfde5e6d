package gateway

import (
	"strings"

	"github.com/tillerfall/tillerfall/internal/backends"
)

const (
	// maxLoggedParts bounds the parts of a prompt in one log line, and maxLoggedPartLength the length
	// of each, in bytes: callers name them.
	maxLoggedParts      = 8
	maxLoggedPartLength = 24
)

// sharedParts returns the parts of a prompt that other requests may have too: all but the last, which
// belongs to the request or its session.
func sharedParts(parts []backends.Part) []backends.Part { return parts[:max(len(parts)-1, 0)] }

// partNames returns the first parts of a list for a log line, separated by commas.
func partNames(parts []backends.Part) string {
	names := make([]string, min(len(parts), maxLoggedParts))
	for index := range names {
		name := parts[index].ID
		names[index] = name[:min(len(name), maxLoggedPartLength)]
	}
	return strings.Join(names, ",")
}
