package main

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// listingRouter returns a list of routers and one fixed response to all other statements.
type listingRouter struct {
	listed *rpc.ExecuteResponse
	answer *rpc.ExecuteResponse
}

func (r *listingRouter) Execute(_ context.Context, request *rpc.ExecuteRequest) (*rpc.ExecuteResponse, error) {
	if request.GetStatement() == "show routers" {
		return r.listed, nil
	}
	return r.answer, nil
}

func answerOf(column, cell string) *rpc.ExecuteResponse {
	return &rpc.ExecuteResponse{Columns: []*rpc.Column{{Name: column}}, Rows: []*rpc.ResultRow{{Cells: []string{cell}}}}
}

// startRouters starts a router for each response. It returns the first router's address and the
// list of routers, to which tests can add rows.
func startRouters(t *testing.T, answers ...*rpc.ExecuteResponse) (string, *rpc.ExecuteResponse) {
	listed := &rpc.ExecuteResponse{Columns: []*rpc.Column{{Name: "router"}, {Name: "address"}}}
	for index, answer := range answers {
		server := httptest.NewServer(rpc.NewOperationsServer(&listingRouter{listed: listed, answer: answer}))
		t.Cleanup(server.Close)
		name := "r" + string(rune('1'+index))
		listed.Rows = append(listed.Rows, &rpc.ResultRow{Cells: []string{name, server.Listener.Addr().String()}})
	}
	return listed.Rows[0].Cells[1], listed
}

func TestQueryIsSentToAllRouters(t *testing.T) {
	address, listed := startRouters(t, answerOf("revision", "7"), answerOf("revision", "6"))
	output, _, err := run(t, "ctl", "-r", address, "--all-routers", "show", "revision")
	require.NoError(t, err)
	assert.Equal(t, "ROUTER  REVISION\nr1      7\nr2      6\n", output)

	listed.Rows = append(listed.Rows, &rpc.ResultRow{Cells: []string{"r3", "127.0.0.1:1"}})
	output, _, err = run(t, "ctl", "-r", address, "--all-routers", "show", "revision")
	assert.Equal(t, resultcode.NoRouter, codeOf(err), "a listed router does not answer")
	assert.ErrorContains(t, err, "r3: no answer from 127.0.0.1:1")
	assert.Contains(t, output, "r2      6", "the other routers' answers are printed")
}

func TestRequestIsFoundAtTheRouterThatPlacedIt(t *testing.T) {
	unknown := &rpc.ExecuteResponse{Code: uint32(resultcode.TargetNotFound), Message: "no recent request"}
	address, _ := startRouters(t, unknown, answerOf("engine", "e1"))
	output, _, err := run(t, "ctl", "-r", address, "--all-routers", "explain", "q")
	require.NoError(t, err)
	assert.Equal(t, "ROUTER  ENGINE\nr2      e1\n", output)
	address, _ = startRouters(t, unknown, unknown)
	_, _, err = run(t, "ctl", "-r", address, "--all-routers", "explain", "q")
	assert.Equal(t, resultcode.TargetNotFound, codeOf(err))
}

func TestOnlyQueriesAreSentToAllRouters(t *testing.T) {
	address, _ := startRouters(t, answerOf("revision", "7"))
	for _, statement := range []string{"drain e1", "apply x", "lookup t"} {
		_, _, err := run(t, "ctl", "-r", address, "--all-routers", statement)
		assert.Equal(t, resultcode.StatementSyntax, codeOf(err), statement)
	}
}

func TestUncertainCommandHasItsOwnExitCode(t *testing.T) {
	_, address := startOperations(t, &rpc.ExecuteResponse{Code: uint32(resultcode.CommandUncertain), Message: "lost"})
	_, _, err := run(t, "ctl", "-r", address, "drain", "e1")
	exitCode, _ := captureReport(t, err)
	assert.Equal(t, exitUncertain, exitCode)
	exitCode, _ = captureReport(t, resultcode.New(resultcode.RevisionConflict, "changed"))
	assert.Equal(t, exitFailure, exitCode)
}
