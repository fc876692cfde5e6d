package integration

import (
	"encoding/json"
	"strings"

	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/openai"
	"github.com/tillerfall/tillerfall/lab/standin/engineserver"
)

// Texts by which proxy rules match an exchange with an engine.
const (
	dispatchLine = "POST /v1/streams HTTP/1.1"
	orderLine    = "POST /v1/orders HTTP/1.1"
	streamHeader = "text/event-stream"
)

// executionsAt counts the dispatches of a request that one engine has accepted.
func (f *testFleet) executionsAt(engineName, requestID string) int {
	f.t.Helper()
	response, err := httpClient.Get("http://" + f.listenAddresses[engineName] + engineserver.PathExecutions)
	require.NoError(f.t, err)
	defer response.Body.Close()
	var executions engineserver.Executions
	require.NoError(f.t, json.NewDecoder(response.Body).Decode(&executions))
	count := 0
	for _, stream := range executions.Streams {
		if strings.HasPrefix(string(stream), requestID+".") {
			count++
		}
	}
	return count
}

// executions counts the dispatches of a request that all engines have accepted.
func (f *testFleet) executions(requestID string) int {
	f.t.Helper()
	count := 0
	for _, name := range f.names("engine") {
		count += f.executionsAt(name, requestID)
	}
	return count
}

// engineForRequest returns the only engine that has accepted a request.
func (f *testFleet) engineForRequest(requestID string) string {
	f.t.Helper()
	var found []string
	for _, name := range f.names("engine") {
		if f.executionsAt(name, requestID) > 0 {
			found = append(found, name)
		}
	}
	require.Len(f.t, found, 1)
	return found[0]
}

// awaitEngineForRequest waits until an engine has accepted a request. A restarted engine has no
// record of earlier requests.
func (f *testFleet) awaitEngineForRequest(requestID string) string {
	f.t.Helper()
	var found string
	eventually(f.t, "an engine accepts the request", func() bool {
		for _, name := range f.names("engine") {
			if f.executionsAt(name, requestID) > 0 {
				found = name
			}
		}
		return found != ""
	})
	return found
}

// setEngineRules sets the same rules on the proxies of all engines.
func (f *testFleet) setEngineRules(rules ...rule) {
	for _, name := range f.names("engine") {
		f.proxies[name].setRules(rules...)
	}
}

// awaitMatchedRule waits until a rule of an engine proxy has matched, removes all rules and returns
// the name of the engine.
func (f *testFleet) awaitMatchedRule() string {
	f.t.Helper()
	var matched string
	eventually(f.t, "a proxy rule matches", func() bool {
		for _, name := range f.names("engine") {
			if f.proxies[name].matchCount() > 0 {
				matched = name
			}
		}
		return matched != ""
	})
	f.setEngineRules()
	return matched
}

// requestID returns the identifier that the agent has assigned to the request.
func (a answer) requestID() string {
	if a.failure != nil {
		return a.failure.RequestID
	}
	return a.header.Get(openai.HeaderRequestID)
}
