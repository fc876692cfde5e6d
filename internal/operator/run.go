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

// Change is a command on its way to the table service.
type Change struct {
	// Token identifies the command across retries.
	Token string
	// ExpectedRevision is the revision that the operator based the command on;
	// 0 accepts any.
	ExpectedRevision fleet.Revision
	// Statement is the command as the operator wrote it, for the record; of a
	// long one the beginning and a digest.
	Statement string
	Mutate    Mutation
}

// Outcome is the recorded end of a command.
type Outcome struct {
	// Code is resultcode.OK for a command that took effect.
	Code resultcode.Code
	// Revision is the one at which it took effect.
	Revision fleet.Revision
	Message  string
	// Statement is the command that the outcome is recorded for.
	Statement string
}

// Store commits commands. An error that isn't a *resultcode.Error leaves open
// whether the command took effect.
type Store interface {
	Commit(ctx context.Context, change Change) (Outcome, error)
	// Lookup returns the outcome of a command; false if none is recorded.
	Lookup(ctx context.Context, token string) (Outcome, bool, error)
}

// Readiness tells whether weights can take the traffic of a model.
type Readiness interface {
	// ReadyToPromote returns an error that says what is missing.
	ReadyToPromote(document config.Document, weights fleet.ModelVersion) error
}

// Request is one statement as an operator sent it.
type Request struct {
	Statement        string
	Token            string
	ExpectedRevision fleet.Revision
}

// Runner runs statements against one router's view and the table service.
type Runner struct {
	source    Source
	store     Store
	readiness Readiness
}

// NewRunner returns a runner.
func NewRunner(source Source, store Store, readiness Readiness) *Runner {
	return &Runner{source: source, store: store, readiness: readiness}
}

// Run parses, plans and runs a statement. Every failure is told in the result.
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
	var syntax *SyntaxError
	if errors.As(err, &syntax) {
		result.ErrorColumn = syntax.Column
	}
	return result
}

func planFailure(err error) Result {
	var planning *PlanError
	if !errors.As(err, &planning) {
		return failure(resultcode.Internal, err.Error())
	}
	result := failure(planning.Code, planning.Error())
	result.ErrorColumn = planning.Column
	return result
}

func (r *Runner) commit(ctx context.Context, request Request, command *Command) Result {
	token := request.Token
	if token == "" {
		token = uuid.NewString()
	}
	wrongColumn := 0
	statement := recordedStatement(request.Statement)
	outcome, err := r.store.Commit(ctx, Change{
		Token:            token,
		ExpectedRevision: request.ExpectedRevision,
		Statement:        statement,
		Mutate:           noteColumn(&wrongColumn, r.guard(command)),
	})
	if err != nil {
		return commitFailure(token, err)
	}
	if outcome.Statement != statement {
		return tokenReused(token, outcome)
	}
	result := outcomeResult(token, outcome)
	if outcome.Code == resultcode.TargetNotFound {
		result.ErrorColumn = wrongColumn
	}
	return result
}

// noteColumn keeps the place of the wrong word of the last run of a mutation.
func noteColumn(column *int, mutation Mutation) Mutation {
	return func(document config.Document) (config.Document, error) {
		next, err := mutation(document)
		*column = 0
		var planning *PlanError
		if errors.As(err, &planning) {
			*column = planning.Column
		}
		return next, err
	}
}

// guard refuses a promotion while the weights aren't loaded widely enough. It
// asks at each run of the mutation, on the configuration that is changed.
func (r *Runner) guard(command *Command) Mutation {
	return func(document config.Document) (config.Document, error) {
		next, err := command.Mutate(document)
		if err != nil || command.Promotes == nil {
			return next, err
		}
		for _, weights := range command.Promotes(document) {
			if err := r.readiness.ReadyToPromote(next, weights); err != nil {
				return document, resultcode.New(resultcode.CommandImpossible, err.Error())
			}
		}
		return next, nil
	}
}

// commitFailure reports a command without an outcome. One that may have taken
// effect says how to find out.
func commitFailure(token string, err error) Result {
	code, message := resultcode.CommandUncertain, err.Error()
	var coded *resultcode.Error
	if errors.As(err, &coded) {
		code, message = coded.Code, coded.Message
	}
	if code == resultcode.CommandUncertain {
		message += "; ask with: lookup " + token
	}
	result := failure(code, message)
	result.Token = token
	return result
}

// Bounds of a statement's record: a row of the table service is no place for a
// whole configuration.
const (
	maxRecordedStatement = 1024
	recordedBeginning    = 200
)

// recordedStatement returns a statement as it is recorded under its token.
// Records of different statements differ.
func recordedStatement(statement string) string {
	if len(statement) <= maxRecordedStatement {
		return statement
	}
	beginning := strings.ToValidUTF8(statement[:recordedBeginning], "")
	return fmt.Sprintf("%s\n… %d bytes, SHA-256 %x", beginning, len(statement), sha256.Sum256([]byte(statement)))
}

// tokenReused reports a command that wasn't run, because its token is that of
// another one. The other's outcome must not pass for its own.
func tokenReused(token string, other Outcome) Result {
	first, _, _ := strings.Cut(other.Statement, "\n")
	message := fmt.Sprintf("not done: this token is that of another command, %q at revision %d; give each command its own", first, other.Revision)
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
