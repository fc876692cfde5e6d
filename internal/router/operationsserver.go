package router

import (
	"context"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/operator"
	"github.com/tillerfall/tillerfall/internal/rpc"
)

// operationsServer serves operators' statements.
type operationsServer struct {
	router  *Router
	runner  *operator.Runner
	timeout time.Duration
	logger  zerolog.Logger
}

var _ rpc.Operations = (*operationsServer)(nil)

// maxLoggedStatement limits how many bytes of a statement are logged.
const maxLoggedStatement = 200

// Execute implements rpc.Operations. A command continues when its caller disconnects, so that its
// outcome is recorded under its token.
func (s *operationsServer) Execute(ctx context.Context, message *rpc.ExecuteRequest) (*rpc.ExecuteResponse, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.timeout)
	defer cancel()
	result := s.runner.Run(ctx, operator.Request{
		Statement:        message.GetStatement(),
		Token:            message.GetToken(),
		ExpectedRevision: fleet.Revision(message.GetExpectedRevision()),
	})
	s.logger.Info().Str("statement", summarize(message.GetStatement())).Str("token", result.Token).
		Uint32("code", uint32(result.Code)).Uint64("revision", uint64(result.Revision)).Msg("statement_executed")
	return encodeResult(s.router.header(), result), nil
}

// summarize returns the start of a statement's first line, since a statement may contain a whole
// configuration.
func summarize(statement string) string {
	line, _, _ := strings.Cut(statement, "\n")
	return line[:min(len(line), maxLoggedStatement)]
}

func encodeResult(header *rpc.Header, result operator.Result) *rpc.ExecuteResponse {
	response := &rpc.ExecuteResponse{
		Header:      header,
		Code:        uint32(result.Code),
		Message:     result.Message,
		Revision:    uint64(result.Revision),
		ErrorColumn: uint32(result.ErrorColumn),
		Token:       result.Token,
	}
	for _, column := range result.Columns {
		response.Columns = append(response.Columns, &rpc.Column{Name: column.Name})
	}
	for _, row := range result.Rows {
		response.Rows = append(response.Rows, &rpc.ResultRow{Cells: row})
	}
	return response
}

// commandStore commits operators' commands to the table service and then refreshes this router's
// configuration.
type commandStore struct {
	store   *config.Store
	refresh func()
}

var _ operator.Store = (*commandStore)(nil)

// Commit implements operator.Store.
func (s *commandStore) Commit(ctx context.Context, change operator.Change) (operator.Outcome, error) {
	outcome, err := s.store.Commit(ctx, config.CommitRequest{
		Token:            change.Token,
		ExpectedRevision: change.ExpectedRevision,
		Statement:        change.Statement,
		Mutate:           change.Mutate,
	})
	s.refresh()
	if err != nil {
		return operator.Outcome{}, err
	}
	return decodeOutcome(outcome), nil
}

// Lookup implements operator.Store.
func (s *commandStore) Lookup(ctx context.Context, token string) (operator.Outcome, bool, error) {
	outcome, found, err := s.store.Lookup(ctx, token)
	if err != nil || !found {
		return operator.Outcome{}, false, err
	}
	return decodeOutcome(outcome), true, nil
}

func decodeOutcome(outcome config.Outcome) operator.Outcome {
	return operator.Outcome{
		Code: outcome.Code, Revision: outcome.Revision, Message: outcome.Message, Statement: outcome.Statement,
	}
}
