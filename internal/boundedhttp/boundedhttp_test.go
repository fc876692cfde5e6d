package boundedhttp

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestBodyEndsWithAnErrorBeyondItsLimit guards against a body that is cut without an error, or read without end.
func TestBodyEndsWithAnErrorBeyondItsLimit(t *testing.T) {
	const limit = 1000
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		length := limit
		if request.URL.Path == "/long" {
			length = limit + 1
		}
		_, _ = io.WriteString(writer, strings.Repeat("x", length))
	}))
	t.Cleanup(server.Close)
	client := &http.Client{Transport: Transport{Next: http.DefaultTransport, MaxBodyBytes: limit}}
	for path, tooLong := range map[string]bool{"/fits": false, "/long": true} {
		response, err := client.Get(server.URL + path)
		require.NoError(t, err)
		content, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		var tooLarge *http.MaxBytesError
		if tooLong {
			require.ErrorAs(t, err, &tooLarge, path)
		} else {
			require.NoError(t, err, path)
		}
		assert.Len(t, content, limit)
	}
}
