package gateway

import (
	"slices"
	"strings"

	"github.com/tillerfall/tillerfall/internal/backends"
	"github.com/tillerfall/tillerfall/internal/quarantine"
)

const (
	// maxLoggedParts bounds the parts of a prompt in one log line, and maxLoggedPartLength the length
	// of each, in bytes: callers name them.
	maxLoggedParts      = 8
	maxLoggedPartLength = 24
	// maxSuspectParts bounds the parts of a prompt that are looked at for harmful ones.
	maxSuspectParts = 32
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

// partFingerprints returns the fingerprints of the first shared parts of a request's prompt.
func partFingerprints(current *callerRequest) []quarantine.Fingerprint {
	shared := sharedParts(current.metadata.Parts)
	if len(shared) == 0 {
		return nil
	}
	service := string(current.service.Name)
	fingerprints := make([]quarantine.Fingerprint, 0, min(len(shared), maxSuspectParts))
	for _, part := range shared[:cap(fingerprints)] {
		if fingerprint := quarantine.PartFingerprint(service, part.ID); !slices.Contains(fingerprints, fingerprint) {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	return fingerprints
}
