package quarantine

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func testIdentity() RequestIdentity {
	return RequestIdentity{Caller: "tenant", Method: "POST", Host: "host.example", Target: "/a/b?c=d", Body: []byte("body")}
}

// TestSameRequestHasTheSameFingerprint guards against fingerprints that differ between nodes or
// versions.
func TestSameRequestHasTheSameFingerprint(t *testing.T) {
	one, other := testIdentity(), testIdentity()
	assert.Equal(t, one.Fingerprint(), other.Fingerprint())
	assert.Equal(t, "43dfe41e11e7f707f78b6151f72c5a94", one.Fingerprint().String(), "must not change between versions")
	assert.Equal(t, one.Fingerprint().String()[:12], one.Fingerprint().Short())
}

// TestEachFieldChangesTheFingerprint guards against fields that are left out, and against ambiguous
// boundaries between fields.
func TestEachFieldChangesTheFingerprint(t *testing.T) {
	seen := map[Fingerprint]string{}
	for name, change := range map[string]func(*RequestIdentity){
		"unchanged":      func(*RequestIdentity) {},
		"caller":         func(s *RequestIdentity) { s.Caller = "other" },
		"no caller":      func(s *RequestIdentity) { s.Caller = "" },
		"method":         func(s *RequestIdentity) { s.Method = "PUT" },
		"host":           func(s *RequestIdentity) { s.Host = "other.example" },
		"path":           func(s *RequestIdentity) { s.Target = "/a/c?c=d" },
		"query":          func(s *RequestIdentity) { s.Target = "/a/b?c=e" },
		"body":           func(s *RequestIdentity) { s.Body = []byte("bodz") },
		"no body":        func(s *RequestIdentity) { s.Body = nil },
		"moved boundary": func(s *RequestIdentity) { s.Target, s.Body = "/a/b?c=dbo", []byte("dy") },
		"moved host":     func(s *RequestIdentity) { s.Host, s.Target = "host.example/a", "/b?c=d" },
	} {
		changed := testIdentity()
		change(&changed)
		fingerprint := changed.Fingerprint()
		assert.Empty(t, seen[fingerprint], name)
		seen[fingerprint] = name
	}
}

// TestFingerprintRoundTrips guards against fingerprints that don't survive String and ParseFingerprint.
func TestFingerprintRoundTrips(t *testing.T) {
	one := testIdentity()
	fingerprint := one.Fingerprint()
	parsed, err := ParseFingerprint(fingerprint.String())
	require.NoError(t, err)
	assert.Equal(t, fingerprint, parsed)
	for _, bad := range []string{"", "zz", "43df", strings.Repeat("0", 34)} {
		_, err := ParseFingerprint(bad)
		assert.Error(t, err, bad)
	}
}
