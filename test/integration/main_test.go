package integration

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// maxFleets bounds the fleets that run concurrently, regardless of -parallel. Each has about nine
// processes.
const maxFleets = 4

// killBeforeTimeout is how long before the timeout of the test binary, which runs no cleanup, all
// processes are killed.
const killBeforeTimeout = 10 * time.Second

var (
	// repository is the root of the source tree.
	repository = filepath.Join("..", "..")
	// binaries is the directory of the built programs.
	binaries string
	// fleetSlots holds one entry for each running fleet.
	fleetSlots = make(chan struct{}, maxFleets)
	// started holds the processes that have been started and not yet waited for.
	started processRegistry
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	directory, err := os.MkdirTemp("", "tillerfall-integration-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	binaries = directory
	build := exec.Command("go", "build", "-o", directory+string(filepath.Separator), "./cmd/tillerfall", "./cmd/tillerlab")
	build.Dir = repository
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	defer started.killAll()
	go killOnSignal()
	if timeout := testTimeout(); timeout > killBeforeTimeout {
		timer := time.AfterFunc(timeout-killBeforeTimeout, started.killAll)
		defer timer.Stop()
	}
	return m.Run()
}

// killOnSignal ends the tests and kills their processes on SIGINT or SIGTERM.
func killOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	started.killAll()
	_ = os.RemoveAll(binaries)
	os.Exit(1)
}

func testTimeout() time.Duration {
	value, ok := flag.Lookup("test.timeout").Value.(flag.Getter)
	if !ok {
		return 0
	}
	timeout, _ := value.Get().(time.Duration)
	return timeout
}

// processRegistry holds the running processes, so that all can be killed when the tests end.
type processRegistry struct {
	mutex     sync.Mutex
	processes map[*os.Process]struct{}
}

func (r *processRegistry) add(process *os.Process) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.processes == nil {
		r.processes = make(map[*os.Process]struct{})
	}
	r.processes[process] = struct{}{}
}

func (r *processRegistry) remove(process *os.Process) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	delete(r.processes, process)
}

func (r *processRegistry) killAll() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for process := range r.processes {
		_ = process.Kill()
	}
}
