package platform

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// TestFailedReadIsUnavailableNotUnknown guards against a read that reports an unknown outcome after
// a lost response, and against a write that doesn't.
func TestFailedReadIsUnavailableNotUnknown(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"connection closed": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"gateway error":     func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusBadGateway) },
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(handler)
			defer server.Close()
			client := NewClient(ClientOptions{Address: fleet.Address(strings.TrimPrefix(server.URL, "http://"))})
			defer client.Close()
			_, err := client.ListMachines(t.Context())
			require.ErrorIs(t, err, ErrUnavailable)
			assert.NotErrorIs(t, err, ErrUnknownOutcome)
			assert.NotContains(t, err.Error(), ErrUnknownOutcome.Error())
			require.ErrorIs(t, client.Commit(t.Context(), Transaction{}), ErrUnknownOutcome)
		})
	}
}
