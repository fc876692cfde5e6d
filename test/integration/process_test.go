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
	// pollInterval is the time between two evaluations of a condition.
	pollInterval = 50 * time.Millisecond
	// conditionTimeout bounds the wait for a condition. It is not a performance requirement.
	conditionTimeout = 60 * time.Second
	// failureLogLines is the number of lines that a failed test prints from the start and from the
	// end of each log.
	failureLogLines = 25
)

// eventually polls until a condition holds, and fails the test after conditionTimeout.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			require.FailNow(t, "condition not met before the timeout: "+what)
		}
		time.Sleep(pollInterval)
	}
}

// process is a program started by a test. After it has exited it can be started again with the same
// command.
type process struct {
	t       *testing.T
	name    string
	binary  string
	flags   []string
	logPath string
	command *exec.Cmd
	exited  chan struct{}
}

// newProcess starts a program whose output goes to a log file, and kills it at the end of the test.
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

// signal sends a signal to the process.
func (p *process) signal(signal syscall.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.command.Process.Signal(signal), p.name)
}

// kill kills the process and waits for its exit.
func (p *process) kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// hasExited reports whether the process has exited.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// exitCode waits for the exit and returns the exit code, or -1 after a signal.
func (p *process) exitCode() int {
	p.t.Helper()
	eventually(p.t, p.name+" exits", p.hasExited)
	return p.command.ProcessState.ExitCode()
}

func (p *process) log() string {
	content, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	return string(content)
}

// countLogLines counts the log lines that contain all the texts.
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

// headAndTail returns the first and the last lines of a text.
func headAndTail(text string, count int) string {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	if len(lines) <= 2*count {
		return strings.Join(lines, "\n")
	}
	return strings.Join(lines[:count], "\n") + "\n...\n" + lastLines(text, count)
}

// commandResult is the output and exit code of a program that has exited.
type commandResult struct {
	output      string
	diagnostics string
	exitCode    int
}

// runCommand runs a program until it exits.
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
