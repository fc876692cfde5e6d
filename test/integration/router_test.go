package integration

import (
	"fmt"
	"sync"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/lab/standin/platformserver"
)

const model = "sahayak-llm"

// singleStreamConfiguration is the example configuration with one stream per engine, so that
// requests wait at routers.
const singleStreamConfiguration = `
tenants:
  - name: citizen-app
    key_hashes: [27c139b736e0e8c8e7292cde302b0d6fb1e6cff6b1a7413f3fafe27e70a2b166]
    weight: 3
    classes: [urgent]
    max_concurrent: 256
    max_waiting: 512
classes:
  - {name: urgent, rank: 0, max_wait: 60s, min_share: 0}
models:
  - name: sahayak-llm
    pool: main
    versions: [{name: v1, state: serving}]
    max_prompt_tokens: 65536
    max_output_tokens: 1024
    block_tokens: 64
pools:
  - {name: main, max_streams: 1, max_loads: 2}
`

// load is a set of concurrent requests.
type load struct {
	requests []chatRequest
	answers  []answer
	running  sync.WaitGroup
}

// startLoad sends count requests with different prompts.
func startLoad(t *testing.T, f *testFleet, count, maxTokens int) *load {
	t.Helper()
	l := &load{answers: make([]answer, count)}
	for i := range count {
		request := chat(model, maxTokens, fmt.Sprintf("Ward %d asks.", i), "Which flag covers tankers?")
		l.requests = append(l.requests, request)
		l.running.Go(func() {
			opened, err := trySend(t, f.agentAddress(), request)
			if err != nil {
				l.answers[i] = answer{broken: err}
				return
			}
			l.answers[i] = opened.readAll()
		})
	}
	return l
}

// requireAllComplete waits for the answers and checks that each is complete.
func (l *load) requireAllComplete(t *testing.T) {
	t.Helper()
	l.running.Wait()
	for i, request := range l.requests {
		requireComplete(t, request, l.answers[i])
	}
}

// waitingAt counts the requests that wait at each router.
func (f *testFleet) waitingAt() map[string]int {
	waiting := make(map[string]int)
	for _, name := range f.names("router") {
		if rows := len(f.query(name, "show waiting")); rows > 0 {
			waiting[name] = rows
		}
	}
	return waiting
}

// awaitWaiting waits until requests wait at routers and returns the router with the most of them.
func (f *testFleet) awaitWaiting() string {
	f.t.Helper()
	var found string
	eventually(f.t, "requests wait at a router", func() bool {
		most := 0
		for name, count := range f.waitingAt() {
			if count > most {
				found, most = name, count
			}
		}
		return most > 0
	})
	return found
}

// TestRouterKilledWhileStreamsRun guards against streams that end when the routers that placed them
// die.
func TestRouterKilledWhileStreamsRun(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	var opened []*exchange
	for i := range 6 {
		request := chat(model, 250, fmt.Sprintf("Counter %d asks.", i), "Which flag covers tankers?")
		opened = append(opened, send(t, f.agentAddress(), request))
	}
	for _, exchange := range opened {
		exchange.readTokens(3)
	}
	for _, name := range f.names("router") {
		f.processes[name].kill()
	}
	for _, exchange := range opened {
		requireComplete(t, exchange.request, exchange.readAll())
	}
}

// TestRouterKilledWhileRequestsWait guards against waiting requests that are lost when their router
// dies.
func TestRouterKilledWhileRequestsWait(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	f.apply("router-1", singleStreamConfiguration)
	running := startLoad(t, f, 12, 150)
	f.processes[f.awaitWaiting()].kill()
	running.requireAllComplete(t)
}

// TestAllRoutersRestartWithPlatformDown guards against routers that cannot serve after a
// simultaneous restart while the platform is down.
func TestAllRoutersRestartWithPlatformDown(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	before := chat(model, 250, "You answer clerks.", "Which flag covers tankers?")
	opened := send(t, f.agentAddress(), before)
	opened.readTokens(1)
	f.setPlatformFaults(platformserver.Faults{Down: true})
	for _, name := range f.names("router") {
		f.processes[name].kill()
	}
	for _, name := range f.names("router") {
		f.processes[name].start()
	}
	after := chat(model, 20, "You answer clerks.", "Which flag covers water meters?")
	eventually(t, "a request is served", func() bool {
		got := ask(t, f.agentAddress(), after)
		if got.failure != nil {
			require.True(t, got.failure.NotRun, "%+v", got.failure)
			return false
		}
		requireComplete(t, after, got)
		return true
	})
	requireComplete(t, before, opened.readAll())
	for _, name := range f.names("router") {
		f.awaitReady(f.listenAddresses[name])
		assert.Equal(t, [][]string{{"1"}}, f.query(name, "show revision"), name)
	}
	_, result := f.runStatement("router-1", "drain engine-1")
	assert.Contains(t, result.diagnostics, resultcode.PlatformUnavailable.String())
}

// TestPlannedStopOfRouterUnderLoad guards against waiting requests that are lost in a planned stop,
// with a second signal and the platform down during the stop.
func TestPlannedStopOfRouterUnderLoad(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	f.apply("router-1", singleStreamConfiguration)
	running := startLoad(t, f, 12, 150)
	stopped := f.processes[f.awaitWaiting()]
	f.setPlatformFaults(platformserver.Faults{Down: true})
	stopped.signal(syscall.SIGTERM)
	eventually(t, "the stop has begun", func() bool { return stopped.countLogLines("event=router_stopping") > 0 })
	if !stopped.hasExited() {
		_ = stopped.command.Process.Signal(syscall.SIGTERM)
	}
	assert.Zero(t, stopped.exitCode())
	assert.Equal(t, 1, stopped.countLogLines("event=router_stopped"))
	assert.Positive(t, stopped.countLogLines("event=place_handed_back", "reason=draining"))
	running.requireAllComplete(t)
}

// TestPlannedStopOfAgent guards against running streams that a planned stop of the agent
// interrupts, also after a second signal.
func TestPlannedStopOfAgent(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	var opened []*exchange
	for i := range 8 {
		opened = append(opened, send(t, f.agentAddress(), chat(model, 200, fmt.Sprintf("Counter %d asks.", i), "Which flag?")))
	}
	for _, exchange := range opened {
		exchange.readTokens(2)
	}
	agent := f.processes["agent-1"]
	agent.signal(syscall.SIGTERM)
	eventually(t, "the stop has begun", func() bool { return agent.countLogLines("event=agent_stopping") > 0 })
	agent.signal(syscall.SIGTERM)
	refused, err := trySend(t, f.agentAddress(), chat(model, 5, "You answer clerks.", "Which flag?"))
	require.NoError(t, err, "a stopping agent still answers")
	late := refused.readAll()
	require.NotNil(t, late.failure)
	assert.EqualValues(t, resultcode.Stopping, late.failure.ResultCode)
	assert.True(t, late.failure.NotRun)
	assert.NotEmpty(t, late.header.Get("Retry-After"))
	for _, exchange := range opened {
		requireComplete(t, exchange.request, exchange.readAll())
	}
	assert.Zero(t, agent.exitCode())
}
