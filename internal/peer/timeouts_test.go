package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLongResponseIsNotTimedOut guards against a long response that began in time being
// canceled, and against wrong causes for responses that do not begin or do not end.
func TestLongResponseIsNotTimedOut(t *testing.T) {
	const first, whole = 100 * time.Millisecond, 400 * time.Millisecond
	for name, test := range map[string]struct {
		before, after time.Duration
		cause         error
	}{
		"long response":       {before: 0, after: 2 * first},
		"no response":         {before: 3 * first, cause: errFirstByteTimeout},
		"unfinished response": {before: 0, after: 3 * whole, cause: errBodyTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				pause(request.Context(), test.before)
				writer.WriteHeader(http.StatusOK)
				_ = http.NewResponseController(writer).Flush()
				pause(request.Context(), test.after)
				_, _ = writer.Write([]byte("end"))
			}))
			t.Cleanup(server.Close)
			ctx, cancel := withResponseTimeouts(t.Context(), first, whole)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, http.NoBody)
			require.NoError(t, err)
			response, err := server.Client().Do(request)
			if err == nil {
				end := make([]byte, 8)
				_, err = response.Body.Read(end)
				require.NoError(t, response.Body.Close())
			}
			if test.cause == nil {
				assert.NoError(t, context.Cause(ctx))
				return
			}
			require.Error(t, err)
			assert.ErrorIs(t, context.Cause(ctx), test.cause)
		})
	}
}

func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
