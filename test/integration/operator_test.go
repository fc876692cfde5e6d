package integration

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/lab/standin/platformserver"
)

// logNumber returns a numeric field of a log line of an event, or 0 if the line has none.
func logNumber(line, event, field string) int {
	if !strings.Contains(line, event) {
		return 0
	}
	_, rest, _ := strings.Cut(line, " "+field+"=")
	digits, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	number, err := strconv.Atoi(digits)
	if err != nil {
		return 0
	}
	return number
}

// TestOperatorsRaceWithLostAnswers guards against concurrent commands that all take effect, or have
// different outcomes at different routers, when the answers of the platform are lost.
func TestOperatorsRaceWithLostAnswers(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	routers := f.names("router")
	revision := uint64(1)
	for round, command := range []string{"drain", "admit", "drain", "admit"} {
		f.setPlatformFaults(platformserver.Faults{LoseAnswers: -1, LoseWritesOnly: true})
		reported := make([]*commandAnswer, len(routers))
		var operators sync.WaitGroup
		for i, router := range routers {
			operators.Go(func() {
				statement := command + " engine-1"
				reported[i], _ = f.runStatement(router, statement, "--token", raceToken(round, i), "--expect", strconv.FormatUint(revision, 10))
			})
		}
		operators.Wait()
		f.setPlatformFaults(platformserver.Faults{})
		winners := 0
		for i := range routers {
			outcome := f.requireSameOutcome(t, routers, raceToken(round, i), reported[i])
			if resultcode.Code(outcome.Code) == resultcode.OK {
				winners++
				assert.Equal(t, revision+1, outcome.Revision)
			}
		}
		require.Equal(t, 1, winners, "round %d", round)
		revision++
		f.awaitRevision(revision)
	}
}

func raceToken(round, operator int) string { return fmt.Sprintf("race-%d-%d", round, operator) }

// requireSameOutcome looks up a token at every router, checks that the outcomes are equal and match
// the reported one, and returns the outcome.
func (f *testFleet) requireSameOutcome(t *testing.T, routers []string, token string, reported *commandAnswer) *commandAnswer {
	t.Helper()
	var first *commandAnswer
	for _, router := range routers {
		outcome, _ := f.runStatement(router, "lookup "+token)
		require.NotNil(t, outcome)
		if first == nil {
			first = outcome
		}
		assert.Equal(t, first.Code, outcome.Code, "token %s", token)
		assert.Equal(t, first.Revision, outcome.Revision, "token %s", token)
	}
	assert.Contains(t, []resultcode.Code{resultcode.OK, resultcode.RevisionConflict}, resultcode.Code(first.Code), "%s: %s", token, first.Message)
	if reported != nil && resultcode.Code(reported.Code) != resultcode.CommandUncertain {
		assert.Equal(t, reported.Code, first.Code, "token %s", token)
	}
	return first
}

// TestCommandRepeatedWithItsToken guards against a command that takes effect twice when it is sent
// again.
func TestCommandRepeatedWithItsToken(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	first := f.mustRunStatement("router-1", "drain engine-2", "--token", "drain-once")
	second := f.mustRunStatement("router-3", "drain engine-2", "--token", "drain-once")
	assert.Equal(t, first.Revision, second.Revision)
	assert.Equal(t, first.Revision, f.mustRunStatement("router-2", "lookup drain-once").Revision)
	unknown, result := f.runStatement("router-1", "lookup never-sent")
	assert.Equal(t, 1, result.exitCode)
	assert.EqualValues(t, resultcode.TargetNotFound, unknown.Code)
}

// TestDrainedEnginesGetNoNewWork guards against new streams at a drained or leaving engine, and
// against running streams that a drain interrupts.
func TestDrainedEnginesGetNoNewWork(t *testing.T) {
	f := startFleet(t, fleetOptions{})
	running := send(t, f.agentAddress(), chat(model, 400, "You answer clerks.", "Which flag covers tankers?"))
	running.readTokens(2)
	drained := f.engineForRequest(running.answer.requestID())
	var leaving, remaining string
	for _, name := range f.names("engine") {
		switch {
		case name == drained:
		case leaving == "":
			leaving = name
		default:
			remaining = name
		}
	}
	f.mustRunStatement("router-1", "drain "+drained)
	f.listEngine(leaving, platform.MachineLeaving)
	for _, router := range f.names("router") {
		f.awaitRows(router, "show engines where state = ready", 1)
	}
	f.listEngine(leaving, platform.MachineLive)
	f.awaitMachineReads(3 * len(f.names("router")))
	for _, router := range f.names("router") {
		assert.Len(t, f.query(router, "show engines where state = ready"), 1, router)
	}
	requests := startLoad(t, f, 12, 20)
	requests.requireAllComplete(t)
	for _, got := range requests.answers {
		assert.Equal(t, remaining, f.engineForRequest(got.requestID()))
	}
	requireComplete(t, running.request, running.readAll())
}

// listEngine lists the current incarnation of an engine with the given state in the list of
// machines.
func (f *testFleet) listEngine(name string, state platform.MachineState) {
	f.t.Helper()
	machines := append([]platform.Machine(nil), f.machines...)
	for i := range machines {
		if machines[i].ID == name {
			machines[i].State = state
			machines[i].Incarnation = f.engineStatus(name).Incarnation
		}
	}
	f.setMachines(machines)
}

// awaitMachineReads waits until the list of machines has been read count more times.
func (f *testFleet) awaitMachineReads(count int) {
	f.t.Helper()
	before := f.platformCounters().ListMachines
	eventually(f.t, "the list of machines is read", func() bool {
		return f.platformCounters().ListMachines >= before+uint64(count)
	})
}

// TestConfigurationSpreadsWithPlatformDown guards against routers and agents that miss a committed
// change because the platform is down.
func TestConfigurationSpreadsWithPlatformDown(t *testing.T) {
	neverPolls := []string{"--set", "configuration_interval=1h"}
	f := startFleet(t, fleetOptions{flags: map[string][]string{"router-2": neverPolls, "router-3": neverPolls}})
	path := writeConfiguration(t, strings.Replace(singleStreamConfiguration, "weight: 3", "weight: 7", 1))
	result := runCommand(t, "tillerfall", "apply", "--router", f.listenAddresses["router-1"], path)
	require.Zero(t, result.exitCode, result.diagnostics)
	f.setPlatformFaults(platformserver.Faults{Down: true})
	f.awaitRevision(2)
	f.processes["router-1"].kill()
	f.processes["router-3"].kill()
	f.processes["router-3"].start()
	f.awaitListening("router-3")
	f.awaitReady(f.listenAddresses["router-3"])
	for _, router := range []string{"router-2", "router-3"} {
		assert.Equal(t, [][]string{{"2"}}, f.query(router, "show revision"), router)
		rows := f.query(router, "show tenants")
		require.Len(t, rows, 1, router)
		assert.Equal(t, "7", rows[0][1], router)
	}
	running := startLoad(t, f, 6, 10)
	running.requireAllComplete(t)
}
