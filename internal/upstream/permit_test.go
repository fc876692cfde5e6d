package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// A request that is not permitted must not be sent, and must leave its connection for the next one.
func TestUnpermittedRequestIsNotSent(t *testing.T) {
	served := 0
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		served++
		_, _ = io.WriteString(writer, "body")
	}))
	defer server.Close()
	dialed := 0
	pool := NewPool(Options{OnDial: func(fleet.EngineID) { dialed++ }})
	defer pool.CloseIdle()
	destination := Destination{Engine: "w", Address: fleet.Address(server.Listener.Addr().String())}
	denied := errors.New("denied")
	permitted := denied
	request := &Request{Method: http.MethodGet, Target: "/", Host: "host", Header: http.Header{}, Permit: func() error { return permitted }}
	_, err := pool.Do(context.Background(), destination, request)
	var failure *ExchangeError
	require.ErrorAs(t, err, &failure)
	assert.Equal(t, NotSent, failure.Stage)
	assert.ErrorIs(t, err, denied)
	assert.Zero(t, served)

	permitted = nil
	response, err := pool.Do(context.Background(), destination, request)
	require.NoError(t, err)
	defer response.Close()
	assert.Equal(t, http.StatusOK, response.Status)
	assert.Equal(t, 1, served)
	assert.Equal(t, 1, dialed)
}
