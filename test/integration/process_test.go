package integration

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// pollInterval is the time between two looks at a condition.
	pollInterval = 50 * time.Millisecond
	// conditionTimeout bounds the wait for a condition. It is no verdict on speed:
	// only a condition that never comes true takes so long.
	conditionTimeout = 60 * time.Second
	// failureLogLines is how much of each end of each log a failed test prints.
	failureLogLines = 25
)

// eventually polls until a condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			require.FailNow(t, "never came true: "+what)
		}
		time.Sleep(pollInterval)
	}
}

// process is one program that the test has started. It can be started again
// with the same command after its end.
type process struct {
	t       *testing.T
	name    string
	binary  string
	flags   []string
	logPath string
	command *exec.Cmd
	exited  chan struct{}
}

// newProcess starts a program whose output goes to a log file, and kills it at
// the end of the test.
func newProcess(t *testing.T, directory, name, binary string, flags []string) *process {
	t.Helper()
	p := &process{t: t, name: name, binary: binary, flags: flags, logPath: filepath.Join(directory, name+".log")}
	p.start()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("--- %s ---\n%s", name, headAndTail(p.log(), failureLogLines))
		}
	})
	return p
}

func (p *process) start() {
	p.t.Helper()
	output, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(p.t, err)
	defer output.Close()
	command := exec.Command(filepath.Join(binaries, p.binary), p.flags...)
	command.Dir = repository
	command.Stdout = output
	command.Stderr = output
	require.NoError(p.t, command.Start(), p.name)
	started.add(command.Process)
	exited := make(chan struct{})
	go func() {
		_ = command.Wait()
		started.remove(command.Process)
		close(exited)
	}()
	p.command = command
	p.exited = exited
}

// signal sends a signal to this process alone.
func (p *process) signal(signal syscall.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.command.Process.Signal(signal), p.name)
}

// kill ends the process without notice and waits for its end.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// hasExited tells whether the process has hasExited.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// exitCode waits for the end and returns the exit code; -1 after a signal.
func (p *process) exitCode() int {
	p.t.Helper()
	eventually(p.t, p.name+" ends", p.hasExited)
	return p.command.ProcessState.ExitCode()
}

func (p *process) log() string {
	content, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(content)
}

// countLogLines counts the log lines that hold all the texts.
func (p *process) countLogLines(texts ...string) int {
	count := 0
	for line := range strings.Lines(p.log()) {
		if containsAll(line, texts) {
			count++
		}
	}
	return count
}

func containsAll(line string, texts []string) bool {
	for _, text := range texts {
		if !strings.Contains(line, text) {
			return false
		}
	}
	return true
}

func lastLines(text string, count int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(lines[max(0, len(lines)-count):], "\n")
}

// headAndTail returns the first and the last lines of a text: what led to a failure may stand
// before thousands of lines of the waiting for it.
func headAndTail(text string, count int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	if len(lines) <= 2*count {
		return strings.Join(lines, "\n")
	}
	return strings.Join(lines[:count], "\n") + "\n...\n" + lastLines(text, count)
}

// commandResult is what a program that ended by itself has left.
type commandResult struct {
	output      string
	diagnostics string
	exitCode    int
}

// runCommand runs a program to its end.
func runCommand(t *testing.T, binary string, flags ...string) commandResult {
	t.Helper()
	command := exec.Command(filepath.Join(binaries, binary), flags...)
	command.Dir = repository
	var output, diagnostics bytes.Buffer
	command.Stdout = &output
	command.Stderr = &diagnostics
	err := command.Run()
	if _, failed := err.(*exec.ExitError); !failed {
		require.NoError(t, err)
	}
	return commandResult{output: output.String(), diagnostics: diagnostics.String(), exitCode: command.ProcessState.ExitCode()}
}
