package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/agent"
	"github.com/tillerfall/tillerfall/internal/engine"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/platform"
	"github.com/tillerfall/tillerfall/internal/router"
	"github.com/tillerfall/tillerfall/lab/standin/platformserver"
)

// commandTimeoutFlag bounds the duration of one ctl command.
const commandTimeoutFlag = "--timeout=20s"

// httpTimeout bounds one request of httpClient.
const httpTimeout = 30 * time.Second

var httpClient = &http.Client{Timeout: httpTimeout}

// fleetOptions describes how a fleet differs from the documented one.
type fleetOptions struct {
	// flags adds flags to the command of the named process. The names "router", "engine" and
	// "agent" stand for all processes of their kind.
	flags map[string][]string
	// engineProxies, routerProxies and platformProxy put a fault-injecting proxy in front of each
	// engine, each router and the platform.
	engineProxies bool
	routerProxies bool
	platformProxy bool
}

// testFleet is a fleet of processes started by the documented commands.
type testFleet struct {
	t         *testing.T
	options   fleetOptions
	directory string
	// addresses maps documented addresses to those of this fleet.
	addresses map[string]string
	// proxies holds the proxy in front of each process that has one.
	proxies   map[string]*faultProxy
	processes map[string]*process
	// listenAddresses holds the address that each process listens on.
	listenAddresses map[string]string
	machines        []platform.Machine
}

// startFleet runs the documented commands and waits until the fleet is ready. It marks the test as
// parallel and waits for a free fleet slot.
func startFleet(t *testing.T, options fleetOptions) *testFleet {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	f := &testFleet{
		t:               t,
		options:         options,
		directory:       t.TempDir(),
		addresses:       make(map[string]string),
		proxies:         make(map[string]*faultProxy),
		processes:       make(map[string]*process),
		listenAddresses: make(map[string]string),
	}
	documented := readDocumentation(t)
	f.reserveAddresses(documented)
	for _, command := range documented.commands {
		switch {
		case command.runsProjectBinary() && command.background:
			f.startDocumented(command)
		case command.runsProjectBinary():
			result := f.runDocumented(command)
			require.Zero(t, result.exitCode, "%s\n%s%s", command.line, result.output, result.diagnostics)
		case strings.Contains(command.line, platformserver.PathSetMachines):
			f.postMachines(documented.machines)
		case strings.Contains(command.line, agent.PathReady):
			f.awaitReady(f.agentAddress())
		}
	}
	f.awaitConvergence()
	return f
}

// reserveAddresses assigns an address of this fleet to each documented one, and starts the
// requested proxies.
func (f *testFleet) reserveAddresses(documented documentation) {
	for _, command := range documented.commands {
		if !command.runsProjectBinary() || !command.background {
			continue
		}
		name := command.name()
		listens := freeAddress(f.t)
		f.listenAddresses[name] = listens
		dialed := listens
		if f.hasProxy(name) {
			f.proxies[name] = newFaultProxy(f.t, listens)
			dialed = f.proxies[name].address()
		}
		f.addresses[command.flag("--address")] = dialed
	}
}

func (f *testFleet) hasProxy(name string) bool {
	switch processKind(name) {
	case "engine":
		return f.options.engineProxies
	case "router":
		return f.options.routerProxies
	case "platform":
		return f.options.platformProxy
	}
	return false
}

// processKind returns the name of a process without its number.
func processKind(name string) string {
	kind, _, _ := strings.Cut(name, "-")
	return kind
}

// translate replaces documented addresses by those of this fleet.
func (f *testFleet) translate(text string) string {
	return documentedAddress.ReplaceAllStringFunc(text, func(documented string) string {
		address, found := f.addresses[documented]
		require.True(f.t, found, "no process listens on %s", documented)
		return address
	})
}

func (f *testFleet) startDocumented(command documentedCommand) {
	name := command.name()
	flags := make([]string, 0, len(command.flags))
	for position, flag := range command.flags {
		if position > 0 && command.flags[position-1] == "--address" {
			flags = append(flags, f.listenAddresses[name])
			continue
		}
		flags = append(flags, f.translate(flag))
	}
	if processKind(name) == "router" && f.options.routerProxies {
		flags = append(flags, "--set", "advertise="+f.proxies[name].address())
	}
	flags = slices.Concat(flags, f.options.flags[processKind(name)], f.options.flags[name])
	f.processes[name] = newProcess(f.t, f.directory, name, filepath.Base(command.program), flags)
	f.awaitListening(name)
}

// awaitListening waits until a process answers an HTTP request.
func (f *testFleet) awaitListening(name string) {
	f.t.Helper()
	eventually(f.t, name+" listens", func() bool {
		response, err := httpClient.Get("http://" + f.listenAddresses[name] + router.PathHealth)
		if err != nil {
			return false
		}
		return response.Body.Close() == nil
	})
}

func (f *testFleet) runDocumented(command documentedCommand) commandResult {
	flags := make([]string, 0, len(command.flags))
	for _, flag := range command.flags {
		flags = append(flags, f.translate(flag))
	}
	return runCommand(f.t, filepath.Base(command.program), flags...)
}

func (f *testFleet) postMachines(documented string) {
	var body platform.MachinesResponse
	require.NoError(f.t, json.Unmarshal([]byte(f.translate(documented)), &body))
	f.setMachines(body.Machines)
}

// setMachines replaces the list of machines of the platform.
func (f *testFleet) setMachines(machines []platform.Machine) {
	f.t.Helper()
	f.machines = machines
	f.control("platform", platformserver.PathSetMachines, platform.MachinesResponse{Machines: machines})
}

// setPlatformFaults replaces the faults of the platform.
func (f *testFleet) setPlatformFaults(faults platformserver.Faults) {
	f.t.Helper()
	f.control("platform", platformserver.PathFaults, faults)
}

// control posts to a control endpoint of a stand-in, bypassing its proxy.
func (f *testFleet) control(name, path string, body any) {
	f.t.Helper()
	encoded, err := json.Marshal(body)
	require.NoError(f.t, err)
	response, err := httpClient.Post("http://"+f.listenAddresses[name]+path, "application/json", bytes.NewReader(encoded))
	require.NoError(f.t, err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	require.Equal(f.t, http.StatusOK, response.StatusCode, "%s", answer)
}

func (f *testFleet) agentAddress() string { return f.listenAddresses["agent-1"] }

// answersReady reports whether the readiness endpoint of a process answers with success.
func answersReady(address string) bool {
	response, err := httpClient.Get("http://" + address + agent.PathReady)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (f *testFleet) awaitReady(address string) {
	f.t.Helper()
	eventually(f.t, address+" is ready", func() bool { return answersReady(address) })
}

// awaitConvergence waits until each router is ready and sees all engines and routers.
func (f *testFleet) awaitConvergence() {
	f.t.Helper()
	for _, name := range f.names("router") {
		f.awaitReady(f.listenAddresses[name])
		f.awaitRows(name, "show engines where state = ready", len(f.names("engine")))
		f.awaitRows(name, "show routers where state = alive", len(f.names("router")))
	}
}

// awaitRows waits until a query at a router returns the given number of rows.
func (f *testFleet) awaitRows(routerName, statement string, count int) {
	f.t.Helper()
	what := fmt.Sprintf("%s: %s has %d rows", routerName, statement, count)
	var rows [][]string
	f.t.Cleanup(func() {
		if f.t.Failed() && len(rows) != count {
			f.t.Logf("%s: %v", what, rows)
		}
	})
	eventually(f.t, what, func() bool {
		rows = f.query(routerName, statement)
		return len(rows) == count
	})
}

// names lists the processes of a kind in order of their names.
func (f *testFleet) names(kind string) []string {
	var names []string
	for name := range f.listenAddresses {
		if processKind(name) == kind {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// commandAnswer is the output of ctl --json.
type commandAnswer struct {
	Code        int        `json:"code"`
	Name        string     `json:"name"`
	Message     string     `json:"message"`
	Token       string     `json:"token"`
	Revision    uint64     `json:"revision"`
	ErrorColumn int        `json:"error_column"`
	Columns     []string   `json:"columns"`
	Rows        [][]string `json:"rows"`
}

// runStatement runs a statement at a router with ctl. The answer is nil if there is none.
func (f *testFleet) runStatement(routerName, statement string, flags ...string) (*commandAnswer, commandResult) {
	f.t.Helper()
	arguments := slices.Concat([]string{"ctl", "--json", commandTimeoutFlag, "--router", f.listenAddresses[routerName]}, flags, strings.Fields(statement))
	result := runCommand(f.t, "tillerfall", arguments...)
	var answer commandAnswer
	if json.Unmarshal([]byte(result.output), &answer) != nil {
		return nil, result
	}
	return &answer, result
}

// mustRunStatement runs a statement that must succeed.
func (f *testFleet) mustRunStatement(routerName, statement string, flags ...string) *commandAnswer {
	f.t.Helper()
	answer, result := f.runStatement(routerName, statement, flags...)
	require.Zero(f.t, result.exitCode, "%s: %s", statement, result.diagnostics)
	require.NotNil(f.t, answer)
	return answer
}

// query returns the rows of a query, or none if it fails.
func (f *testFleet) query(routerName, statement string) [][]string {
	answer, _ := f.runStatement(routerName, statement)
	if answer == nil {
		return nil
	}
	return answer.Rows
}

// apply commits a configuration through a router and waits until every router and the agent have
// it.
func (f *testFleet) apply(routerName, configuration string) *commandAnswer {
	f.t.Helper()
	path := writeConfiguration(f.t, configuration)
	result := runCommand(f.t, "tillerfall", "apply", "--json", commandTimeoutFlag, "--router", f.listenAddresses[routerName], path)
	require.Zero(f.t, result.exitCode, result.diagnostics)
	var answer commandAnswer
	require.NoError(f.t, json.Unmarshal([]byte(result.output), &answer))
	f.awaitRevision(answer.Revision)
	return &answer
}

func writeConfiguration(t *testing.T, configuration string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.yaml")
	require.NoError(t, os.WriteFile(path, []byte(configuration), 0o600))
	return path
}

// platformCounters returns the calls that have reached the platform.
func (f *testFleet) platformCounters() platformserver.Counters {
	f.t.Helper()
	response, err := httpClient.Get("http://" + f.listenAddresses["platform"] + platformserver.PathCounters)
	require.NoError(f.t, err)
	defer response.Body.Close()
	var counters platformserver.Counters
	require.NoError(f.t, json.NewDecoder(response.Body).Decode(&counters))
	return counters
}

// awaitRevision waits until every router and the agent have a configuration revision.
func (f *testFleet) awaitRevision(revision uint64) {
	f.t.Helper()
	for _, name := range f.names("router") {
		eventually(f.t, fmt.Sprintf("%s has revision %d", name, revision), func() bool {
			rows := f.query(name, "show revision")
			return len(rows) == 1 && rows[0][0] == strconv.FormatUint(revision, 10)
		})
	}
	eventually(f.t, fmt.Sprintf("the agent has revision %d", revision), func() bool {
		return f.processes["agent-1"].countLogLines("event=configuration_learned", fmt.Sprintf("revision=%d ", revision)) > 0
	})
}

// engineStatus returns the status of an engine, bypassing its proxy.
func (f *testFleet) engineStatus(name string) engine.Status {
	f.t.Helper()
	client := engine.NewClient(fleet.Address(f.listenAddresses[name]), engine.Options{})
	defer client.CloseIdle()
	status, err := client.Status(f.t.Context())
	require.NoError(f.t, err)
	return status
}
