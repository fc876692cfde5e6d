package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/go-faster/errors"
)

// fingerprintSize is the size of a fingerprint in bytes: 128 bits of SHA-256, so that
// nobody finds a request that bears the fingerprint of another caller's.
const fingerprintSize = 16

// shortDigits is the number of hexadecimal digits of Short.
const shortDigits = 12

// Fingerprint names what a request asks for and who asks. A caller that sends the same
// request again, under whatever identifier and to whichever node, sends the same
// fingerprint.
type Fingerprint [fingerprintSize]byte

// RequestIdentity is what a fingerprint is made of.
type RequestIdentity struct {
	// Caller is the authenticated tenant; empty where no key is asked for. As part of the
	// fingerprint it keeps one tenant's requests from being refused for another's.
	Caller string
	Method string
	Host   string
	// Target is the raw path and query.
	Target string
	Body   []byte
}

// Fingerprint returns the fingerprint of the subject.
func (s *RequestIdentity) Fingerprint() Fingerprint {
	digest := sha256.New()
	for _, field := range []string{s.Caller, s.Method, s.Host, s.Target} {
		writeField(digest, field)
	}
	// Write of a hash never fails.
	_, _ = digest.Write(s.Body)
	var sum [sha256.Size]byte
	digest.Sum(sum[:0])
	return Fingerprint(sum[:fingerprintSize])
}

// writeField writes a text behind its length, so that no two lists of fields are alike.
func writeField(digest hash.Hash, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = digest.Write(length[:])
	_, _ = digest.Write([]byte(field))
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Short returns the first digits of String, for lines about single requests.
func (f Fingerprint) Short() string { return f.String()[:shortDigits] }

// ParseFingerprint reads what String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	content, err := hex.DecodeString(text)
	if err != nil {
		return Fingerprint{}, errors.Wrap(err, "fingerprint")
	}
	return FingerprintFromBytes(content)
}

// FingerprintFromBytes returns the fingerprint of which these are the bytes.
func FingerprintFromBytes(content []byte) (Fingerprint, error) {
	if len(content) != fingerprintSize {
		return Fingerprint{}, errors.Errorf("fingerprint of %d bytes, %d expected", len(content), fingerprintSize)
	}
	return Fingerprint(content), nil
}
