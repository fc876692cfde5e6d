package main

import (
	"bytes"
	"context"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/logging"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// run parses and executes a command line. It returns the contents of standard output and standard
// error, and the error.
func run(t *testing.T, arguments ...string) (output, diagnostics string, err error) {
	t.Helper()
	outputFile, diagnosticsFile := redirect(t, &os.Stdout), redirect(t, &os.Stderr)
	parser := flags.NewNamedParser("tillerfall", flags.HelpFlag|flags.PassDoubleDash)
	_, err = parser.AddGroup("", "", &commandLine{})
	require.NoError(t, err)
	_, err = parser.ParseArgs(arguments)
	return read(t, outputFile), read(t, diagnosticsFile), err
}

func redirect(t *testing.T, stream **os.File) *os.File {
	original := *stream
	file, err := os.Create(filepath.Join(t.TempDir(), "stream"))
	require.NoError(t, err)
	*stream = file
	t.Cleanup(func() {
		*stream = original
		_ = file.Close()
	})
	return file
}

func read(t *testing.T, file *os.File) string {
	content, err := os.ReadFile(file.Name())
	require.NoError(t, err)
	return string(content)
}

func codeOf(err error) resultcode.Code {
	var coded *resultcode.Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return resultcode.OK
}

func writeFile(t *testing.T, content string) string {
	path := filepath.Join(t.TempDir(), "file.yaml")
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

func TestValidatePrintsEveryErrorWithLineAndField(t *testing.T) {
	path := writeFile(t, "tenants:\n  - name: a\n    weight: -1\n    surprise: 1\n")
	_, diagnostics, err := run(t, "validate", path)
	assert.Equal(t, resultcode.ConfigInvalid, codeOf(err))
	assert.Contains(t, diagnostics, "line 3, column 5: tenants[0].weight")
	assert.Contains(t, diagnostics, "line 4, column 5: tenants[0].surprise: unknown field")
	_, diagnostics, err = run(t, "validate", "--kind", "router", writeFile(t, "node: {id: r}\nindex_replicas: -1\nlease_margin: 1h\n"))
	assert.Equal(t, resultcode.SettingsInvalid, codeOf(err))
	for _, field := range []string{"node.zone", "platform.address", "line 2, column 1: index_replicas", "line 3, column 1: lease_margin"} {
		assert.Contains(t, diagnostics, field)
	}
	_, _, err = run(t, "validate", "--kind", "agent", writeFile(t, "routers: [nonsense]\n"))
	assert.Equal(t, resultcode.SettingsInvalid, codeOf(err))
}

func TestExampleConfigurationIsValid(t *testing.T) {
	output, _, err := run(t, "validate", "../../examples/config.yaml")
	require.NoError(t, err)
	assert.Contains(t, output, "valid")
}

func TestInvalidCommandLinesGetNumberedErrors(t *testing.T) {
	_, _, err := run(t, "rooter")
	_, diagnostics := captureReport(t, err)
	assert.Contains(t, diagnostics, "error 5002 settings_invalid")
	_, _, err = run(t, "router", "--set", "nonsense")
	assert.Equal(t, resultcode.SettingsInvalid, codeOf(err))
	_, _, err = run(t, "agent", "--zone", "z", "--router", "nonsense")
	assert.Equal(t, resultcode.SettingsInvalid, codeOf(err))
}

func captureReport(t *testing.T, err error) (exitCode int, diagnostics string) {
	file := redirect(t, &os.Stderr)
	exitCode = report(err)
	return exitCode, read(t, file)
}

// stubOperations records the last request and returns a fixed response.
type stubOperations struct {
	last   *rpc.ExecuteRequest
	answer *rpc.ExecuteResponse
}

func (s *stubOperations) Execute(_ context.Context, request *rpc.ExecuteRequest) (*rpc.ExecuteResponse, error) {
	s.last = request
	return s.answer, nil
}

func startOperations(t *testing.T, answer *rpc.ExecuteResponse) (*stubOperations, string) {
	stub := &stubOperations{answer: answer}
	server := httptest.NewServer(rpc.NewOperationsServer(stub))
	t.Cleanup(server.Close)
	return stub, server.Listener.Addr().String()
}

func TestControlPrintsTablesAndJSON(t *testing.T) {
	stub, address := startOperations(t, &rpc.ExecuteResponse{
		Columns: []*rpc.Column{{Name: "engine"}}, Rows: []*rpc.ResultRow{{Cells: []string{"e1"}}},
	})
	output, _, err := run(t, "ctl", "-r", address, "--token", "t1", "--expect", "7", "show", "engines")
	require.NoError(t, err)
	assert.Equal(t, "ENGINE\ne1\n", output)
	assert.Equal(t, "show engines", stub.last.GetStatement())
	assert.Equal(t, "t1", stub.last.GetToken())
	assert.EqualValues(t, 7, stub.last.GetExpectedRevision())
	output, _, err = run(t, "ctl", "-r", address, "--json", "show engines")
	require.NoError(t, err)
	assert.JSONEq(t, `{"code":0,"name":"ok","columns":["engine"],"rows":[["e1"]]}`, output)
}

func TestControlReportsFailures(t *testing.T) {
	_, address := startOperations(t, &rpc.ExecuteResponse{Code: uint32(resultcode.RevisionConflict), Message: "changed"})
	_, _, err := run(t, "ctl", "-r", address, "drain", "e1")
	assert.Equal(t, resultcode.RevisionConflict, codeOf(err))
	_, _, err = run(t, "ctl", "-r", "127.0.0.1:1", "drain", "e1")
	assert.Equal(t, resultcode.NoRouter, codeOf(err), "nothing was sent")
	silent := httptest.NewServer(nil)
	defer silent.Close()
	_, _, err = run(t, "ctl", "-r", silent.Listener.Addr().String(), "--token", "t2", "drain", "e1")
	assert.Equal(t, resultcode.CommandUncertain, codeOf(err))
	assert.ErrorContains(t, err, "lookup t2")
	for _, query := range []string{"show engines", "lookup t2"} {
		_, _, err = run(t, "ctl", "-r", silent.Listener.Addr().String(), query)
		assert.Equal(t, resultcode.NoRouter, codeOf(err), "%s has no effect that could be uncertain", query)
	}
}

func TestApplySendsFileUnchanged(t *testing.T) {
	stub, address := startOperations(t, &rpc.ExecuteResponse{Revision: 3, Token: "t3"})
	output, _, err := run(t, "apply", "-r", address, writeFile(t, "tenants: []\n"))
	require.NoError(t, err)
	assert.Equal(t, "apply tenants: []\n", stub.last.GetStatement())
	assert.Equal(t, "revision=3 token=t3\n", output)
}

// stubProcess counts calls of Stop, which blocks until release is closed.
type stubProcess struct {
	started  chan struct{}
	stopping chan struct{}
	release  chan struct{}
	stops    atomic.Int32
}

func (p *stubProcess) Node() fleet.NodeID    { return "router-1-0a1b2c3d" }
func (p *stubProcess) Start() error          { close(p.started); return nil }
func (p *stubProcess) Dead() <-chan struct{} { return nil }
func (p *stubProcess) Err() error            { return nil }
func (p *stubProcess) Stop() error {
	p.stops.Add(1)
	close(p.stopping)
	<-p.release
	return io.EOF
}

func TestSecondSignalIsIgnoredDuringShutdown(t *testing.T) {
	process := &stubProcess{started: make(chan struct{}), stopping: make(chan struct{}), release: make(chan struct{})}
	ended := make(chan error, 1)
	var log bytes.Buffer
	go func() { ended <- runProcess(process, logging.New(&log, "router", "router-1", "info")) }()
	<-process.started
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGTERM))
	<-process.stopping
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		require.NoError(t, syscall.Kill(os.Getpid(), signal))
	}
	select {
	case err := <-ended:
		t.Fatalf("the second signal ended the process: %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	close(process.release)
	require.ErrorIs(t, <-ended, io.EOF)
	assert.EqualValues(t, 1, process.stops.Load())
	assert.Regexp(t, `node=router-1-0a1b2c3d event=signal_received signal=terminated\n$`, log.String())
}
