package platform

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestStatusErrorMapping(t *testing.T) {
	wants := map[int]error{
		http.StatusTooManyRequests:     ErrRateLimited,
		http.StatusConflict:            ErrConflict,
		http.StatusNotFound:            ErrNotFound,
		http.StatusBadRequest:          ErrInvalid,
		http.StatusServiceUnavailable:  ErrUnavailable,
		http.StatusInternalServerError: ErrUnknownOutcome,
		http.StatusBadGateway:          ErrUnknownOutcome,
		http.StatusGatewayTimeout:      ErrUnknownOutcome,
		http.StatusFound:               ErrUnknownOutcome,
	}
	for status, want := range wants {
		require.ErrorIs(t, statusError(httpResult{status: status}), want, "status %d", status)
	}
}

func TestMismatchedResponsesAreRejected(t *testing.T) {
	_, err := decodeRow([]byte(`{"key":"other","revision":1}`), "key")
	require.ErrorIs(t, err, ErrMalformedResponse)
	for _, body := range []string{
		`{"rows":[{"key":"q/1","revision":1}]}`,
		`{"rows":[{"key":"p/2","revision":1},{"key":"p/1","revision":1}]}`,
		`{"rows":[{"key":"p/0","revision":1}]}`,
		`{"rows":[{"key":"p/2"}]}`,
	} {
		_, err = decodeRows([]byte(body), "p/", "p/0")
		require.ErrorIs(t, err, ErrMalformedResponse, body)
	}
	_, err = decodeMachines([]byte(`{"machines":[{"id":"a","address":"1:1","state":"gone"}]}`))
	require.ErrorIs(t, err, ErrMalformedResponse)
}

func FuzzDecodeResponses(f *testing.F) {
	f.Add([]byte(`{"rows":[{"key":"p/1","value":"dg==","revision":1}]}`))
	f.Add([]byte(`{"key":"p/1","value":"dg==","revision":1}`))
	f.Add([]byte(`{"machines":[{"id":"a","address":"127.0.0.1:1","state":"live","incarnation":3}]}`))
	f.Add([]byte(`{"loading":1,"limit":2}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if row, err := decodeRow(body, "p/1"); err == nil {
			assert.Equal(t, "p/1", row.Key)
			assert.NotZero(t, row.Revision)
		}
		if rows, err := decodeRows(body, "p/", "p/0"); err == nil {
			previous := "p/0"
			for _, row := range rows {
				assert.Greater(t, row.Key, previous)
				previous = row.Key
			}
		}
		if machines, err := decodeMachines(body); err == nil {
			for _, machine := range machines {
				assert.NotEmpty(t, machine.ID)
			}
		}
		if status, err := decodeWeightStoreStatus(body); err == nil {
			assert.GreaterOrEqual(t, status.Loading, 0)
		}
		assert.LessOrEqual(t, len(errorText(body)), 3*maxErrorText)
	})
}
