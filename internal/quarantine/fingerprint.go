package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/go-faster/errors"
)

// fingerprintSize is the size of a fingerprint in bytes: 128 bits of SHA-256, which makes it
// infeasible to construct a request with the fingerprint of another caller's request.
const fingerprintSize = 16

// shortDigits is the number of hexadecimal digits that Short returns.
const shortDigits = 12

// Fingerprint identifies a request by its caller and content. A repeated request has the same
// fingerprint on every node, regardless of its request identifier.
type Fingerprint [fingerprintSize]byte

// RequestIdentity holds the parts of a request that its fingerprint covers.
type RequestIdentity struct {
	// Caller is the authenticated tenant; empty if no key is required. Including it keeps one
	// tenant's requests from being refused because of another's.
	Caller string
	Method string
	Host   string
	// Target is the raw path and query.
	Target string
	Body   []byte
}

// Fingerprint returns the fingerprint of the request.
func (r *RequestIdentity) Fingerprint() Fingerprint {
	digest := sha256.New()
	for _, field := range []string{r.Caller, r.Method, r.Host, r.Target} {
		writeField(digest, field)
	}
	// Write of a hash never fails.
	_, _ = digest.Write(r.Body)
	var sum [sha256.Size]byte
	digest.Sum(sum[:0])
	return Fingerprint(sum[:fingerprintSize])
}

// writeField writes a field prefixed with its length, which keeps the encoding of a list of fields
// unambiguous.
func writeField(digest hash.Hash, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	_, _ = digest.Write(length[:])
	_, _ = digest.Write([]byte(field))
}

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// Short returns the first digits of String, for log lines about single requests.
func (f Fingerprint) Short() string { return f.String()[:shortDigits] }

// ParseFingerprint parses the output of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	content, err := hex.DecodeString(text)
	if err != nil {
		return Fingerprint{}, errors.Wrap(err, "fingerprint")
	}
	return FingerprintFromBytes(content)
}

// FingerprintFromBytes converts the raw bytes of a fingerprint. It returns an error if their number
// is wrong.
func FingerprintFromBytes(content []byte) (Fingerprint, error) {
	if len(content) != fingerprintSize {
		return Fingerprint{}, errors.Errorf("invalid fingerprint length: got %d bytes, want %d", len(content), fingerprintSize)
	}
	return Fingerprint(content), nil
}
