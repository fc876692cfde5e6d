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

// TestFailedReadIsUnavailableNotUnknown loses answers in several ways: a read is
// unavailable then, and only of a write the outcome is unknown.
func TestFailedReadIsUnavailableNotUnknown(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"cut before the answer": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"a gateway's status":    func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusBadGateway) },
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
