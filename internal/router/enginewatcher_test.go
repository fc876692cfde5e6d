package router

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/settings"
)

// proxyEventsWithoutWait puts a proxy before the fleet's engine that disables the wait of event
// polls, and counts event and status calls.
func proxyEventsWithoutWait(t *testing.T, f *testFleet) (events, statuses *atomic.Int64) {
	target, err := url.Parse("http://" + string(f.engines[0].Address()))
	require.NoError(t, err)
	forward := httputil.NewSingleHostReverseProxy(target)
	events, statuses = &atomic.Int64{}, &atomic.Int64{}
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case engine.PathStatus:
			statuses.Add(1)
		case engine.PathEvents:
			events.Add(1)
			query := r.URL.Query()
			query.Set("wait_ms", "0")
			r.URL.RawQuery = query.Encode()
		}
		forward.ServeHTTP(w, r)
	}))
	t.Cleanup(proxy.Close)
	machines := f.machines()
	machines[0].Address = fleet.Address(strings.TrimPrefix(proxy.URL, "http://"))
	f.platform.SetMachines(machines)
	return events, statuses
}

func TestEventPollsPauseBetweenResponses(t *testing.T) {
	const enough = 20
	for _, pause := range []time.Duration{0, time.Hour} {
		f := newTestFleet(t, 1)
		f.commitConfiguration()
		events, statuses := proxyEventsWithoutWait(t, f)
		r := f.startRouter("r", func(options *Settings) { options.EventPause = settings.Duration(pause) })
		require.Eventually(t, func() bool { return events.Load() > 0 }, waitTimeout, pollInterval)
		if pause == 0 {
			require.Eventually(t, func() bool { return events.Load() > enough }, waitTimeout, pollInterval)
			continue
		}
		before := statuses.Load()
		require.Eventually(t, func() bool { return statuses.Load() > before+enough }, waitTimeout, pollInterval)
		assert.EqualValues(t, 1, events.Load(), "events were polled again within the pause")
		require.NoError(t, r.Stop(), "the pause must not delay a stop")
	}
}

func TestOutageIsReportedOnce(t *testing.T) {
	refused, lost := &engine.Error{}, &engine.Error{Sent: true}
	for name, testCase := range map[string]struct {
		errors   []error
		reported []bool
	}{
		"connection refused":                   {[]error{refused, refused, refused}, []bool{true, false, false}},
		"no response":                          {[]error{lost, lost, lost}, []bool{false, true, false}},
		"no response, then connection refused": {[]error{lost, refused, lost}, []bool{false, true, false}},
	} {
		var failing outage
		for index, err := range testCase.errors {
			assert.Equal(t, testCase.reported[index], failing.recordFailure(err), "%s: failure %d", name, index+1)
		}
	}
}
