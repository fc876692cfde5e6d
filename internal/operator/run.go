package operator

import (
	"context"
	"crypto/sha256"
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Change is a command to be committed to the table service.
type Change struct {
	// Token identifies the command, and makes retries of it idempotent.
	Token string
	// ExpectedRevision is the revision that the configuration must have; 0 accepts any.
	ExpectedRevision fleet.Revision
	// Statement is the text that is recorded for the command; see recordedStatement.
	Statement string
	Mutate    Mutation
}

// Outcome is the result of a command, as the table service records it.
type Outcome struct {
	// Code is resultcode.OK for a command that took effect.
	Code resultcode.Code
	// Revision is the configuration revision at which the command took effect.
	Revision fleet.Revision
	Message  string
	// Statement is the command that the outcome is recorded for.
	Statement string
}

// Store commits commands and looks up their outcomes.
type Store interface {
	// Commit applies a change. If the error isn't a *resultcode.Error, it is unknown whether the
	// change took effect.
	Commit(ctx context.Context, change Change) (Outcome, error)
	// Lookup returns the recorded outcome of a command, and whether there is one.
	Lookup(ctx context.Context, token string) (Outcome, bool, error)
}

// Readiness checks whether a model version can be promoted.
type Readiness interface {
	// ReadyToPromote returns an error that describes what is missing; nil if the version is ready.
	ReadyToPromote(document config.Document, modelVersion fleet.ModelVersion) error
}

// Request is one statement as an operator sent it.
type Request struct {
	Statement        string
	Token            string
	ExpectedRevision fleet.Revision
}

// Runner runs statements against the state of one router and the table service.
type Runner struct {
	source    Source
	store     Store
	readiness Readiness
}

// NewRunner returns a Runner that reads from source and commits to store.
func NewRunner(source Source, store Store, readiness Readiness) *Runner {
	return &Runner{source: source, store: store, readiness: readiness}
}

// Run parses, plans and runs a statement. Failures are reported in the result.
func (r *Runner) Run(ctx context.Context, request Request) Result {
	statement, err := Parse(request.Statement)
	if err != nil {
		return syntaxFailure(err)
	}
	plan, err := MakePlan(statement, r.source)
	if err != nil {
		return planFailure(err)
	}
	switch {
	case plan.Query != nil:
		return plan.Query()
	case plan.LookupToken != "":
		return r.lookup(ctx, plan.LookupToken)
	}
	return r.commit(ctx, request, plan.Command)
}

func syntaxFailure(err error) Result {
	result := failure(resultcode.StatementSyntax, err.Error())
	var syntaxError *SyntaxError
	if errors.As(err, &syntaxError) {
		result.ErrorColumn = syntaxError.Column
	}
	return result
}

func planFailure(err error) Result {
	var planError *PlanError
	if !errors.As(err, &planError) {
		return failure(resultcode.Internal, err.Error())
	}
	result := failure(planError.Code, planError.Error())
	result.ErrorColumn = planError.Column
	return result
}

func (r *Runner) commit(ctx context.Context, request Request, command *Command) Result {
	token := request.Token
	if token == "" {
		token = uuid.NewString()
	}
	errorColumn := 0
	statement := recordedStatement(request.Statement)
	outcome, err := r.store.Commit(ctx, Change{
		Token:            token,
		ExpectedRevision: request.ExpectedRevision,
		Statement:        statement,
		Mutate:           recordErrorColumn(&errorColumn, r.requireReadiness(command)),
	})
	if err != nil {
		return commitFailure(token, err)
	}
	if outcome.Statement != statement {
		return tokenReuseFailure(token, outcome)
	}
	result := outcomeResult(token, outcome)
	if outcome.Code == resultcode.TargetNotFound {
		result.ErrorColumn = errorColumn
	}
	return result
}

// recordErrorColumn wraps a mutation so that column holds the error column of its last run, or 0.
func recordErrorColumn(column *int, mutation Mutation) Mutation {
	return func(document config.Document) (config.Document, error) {
		next, err := mutation(document)
		*column = 0
		var planError *PlanError
		if errors.As(err, &planError) {
			*column = planError.Column
		}
		return next, err
	}
}

// requireReadiness wraps a command's mutation so that it fails unless all versions that the command
// promotes are ready. Each run of the mutation checks the configuration that it changes.
func (r *Runner) requireReadiness(command *Command) Mutation {
	return func(document config.Document) (config.Document, error) {
		next, err := command.Mutate(document)
		if err != nil || command.Promotes == nil {
			return next, err
		}
		for _, modelVersion := range command.Promotes(document) {
			if err := r.readiness.ReadyToPromote(next, modelVersion); err != nil {
				return document, resultcode.New(resultcode.CommandImpossible, err.Error())
			}
		}
		return next, nil
	}
}

// commitFailure reports a command whose commit returned an error. If the command may have taken
// effect, the message says how to look up its outcome.
func commitFailure(token string, err error) Result {
	code, message := resultcode.CommandUncertain, err.Error()
	var resultError *resultcode.Error
	if errors.As(err, &resultError) {
		code, message = resultError.Code, resultError.Message
	}
	if code == resultcode.CommandUncertain {
		message += "; ask with: lookup " + token
	}
	result := failure(code, message)
	result.Token = token
	return result
}

// Limits for recorded statements, which keep configurations out of the table service's rows.
const (
	maxRecordedBytes    = 1024
	recordedPrefixBytes = 200
)

// recordedStatement returns the text that is recorded for a statement: the statement itself, or the
// beginning, size and SHA-256 digest of a long one. Different statements have different records.
func recordedStatement(statement string) string {
	if len(statement) <= maxRecordedBytes {
		return statement
	}
	beginning := strings.ToValidUTF8(statement[:recordedPrefixBytes], "")
	return fmt.Sprintf("%s\n… %d bytes, SHA-256 %x", beginning, len(statement), sha256.Sum256([]byte(statement)))
}

// tokenReuseFailure reports a command that wasn't run because another command has used its token.
// The outcome of the other command must not be returned for this one.
func tokenReuseFailure(token string, other Outcome) Result {
	firstLine, _, _ := strings.Cut(other.Statement, "\n")
	message := fmt.Sprintf("not done: this token is that of another command, %q at revision %d; give each command its own", firstLine, other.Revision)
	result := failure(resultcode.CommandImpossible, message)
	result.Token = token
	return result
}

func outcomeResult(token string, outcome Outcome) Result {
	message := outcome.Message
	if message == "" && outcome.Code == resultcode.OK {
		message = "done"
	}
	return Result{Code: outcome.Code, Message: message, Token: token, Revision: outcome.Revision}
}

func (r *Runner) lookup(ctx context.Context, token string) Result {
	outcome, found, err := r.store.Lookup(ctx, token)
	if err != nil {
		result := failure(resultcode.PlatformUnavailable, err.Error())
		result.Token = token
		return result
	}
	if !found {
		result := failure(resultcode.TargetNotFound, "no command with this token has taken effect so far")
		result.Token = token
		return result
	}
	return outcomeResult(token, outcome)
}
