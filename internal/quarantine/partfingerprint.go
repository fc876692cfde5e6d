package quarantine

import (
	"bytes"
	"crypto/sha256"
)

// A part's fingerprint is 32 bits of its service's hash, 64 bits of its own, and partMark. Releases that
// don't know parts treat its record as that of a request which never comes.
const (
	serviceEnd = 4
	partEnd    = 12
)

// partMark ends the fingerprints of parts. That of a request ends so once in 2^32 times.
var partMark = [fingerprintSize - partEnd]byte{'p', 'a', 'r', 't'}

// PartFingerprint identifies a shared part of prompts at a service. A part may crash the workers of one
// service alone, so each service has a record of its own. The tenant isn't covered: a harmful part comes
// from any tenant that shares it.
func PartFingerprint(service, part string) Fingerprint {
	serviceHash, partHash := sha256.Sum256([]byte(service)), sha256.Sum256([]byte(part))
	var fingerprint Fingerprint
	copy(fingerprint[:serviceEnd], serviceHash[:])
	copy(fingerprint[serviceEnd:partEnd], partHash[:])
	copy(fingerprint[partEnd:], partMark[:])
	return fingerprint
}

// IsPart reports whether the fingerprint is that of a part of prompts.
func (f Fingerprint) IsPart() bool { return bytes.Equal(f[partEnd:], partMark[:]) }

// partID is what the fingerprints of one part at several services have in common.
type partID [fingerprintSize - serviceEnd]byte

func (f Fingerprint) partID() partID { return partID(f[serviceEnd:]) }

// isSamePart reports whether two fingerprints are those of one part at two services.
func (f Fingerprint) isSamePart(other Fingerprint) bool {
	return f != other && f.partID() == other.partID()
}

// Subject is what a request has in common with others that may crash workers.
type Subject struct {
	// Request is the fingerprint of the whole request.
	Request Fingerprint
	// Parts are the fingerprints of the shared parts of its prompt.
	Parts []Fingerprint
}

// Fingerprints returns those of the request and of its prompt's parts.
func (s *Subject) Fingerprints() []Fingerprint {
	return append([]Fingerprint{s.Request}, s.Parts...)
}

// holdsAll reports whether the request's prompt holds all of some parts.
func (s *Subject) holdsAll(parts []Fingerprint) bool {
	for _, part := range parts {
		if !s.holds(part) {
			return false
		}
	}
	return true
}

func (s *Subject) holds(part Fingerprint) bool {
	for _, held := range s.Parts {
		if held == part {
			return true
		}
	}
	return false
}
