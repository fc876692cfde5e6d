package simulation

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/operator"
	"github.com/tillerfall/tillerfall/internal/resultcode"
	"github.com/tillerfall/tillerfall/lab/history"
)

const (
	commandTimeout  = 2 * time.Second
	commandAttempts = 4
	operatorCount   = 2
	// expectedRevisionChance is the probability that a command requires the last committed
	// revision.
	expectedRevisionChance = 0.5
)

// command is a statement of an operator, the same across retries.
type command struct {
	operator  int
	token     string
	statement string
	expected  fleet.Revision
}

// commandResult is a router's answer to an operator.
type commandResult struct {
	code     resultcode.Code
	revision fleet.Revision
	definite bool
	noEffect bool
}

// scheduleCommands draws the times of the operators' commands.
func (w *world) scheduleCommands() {
	if w.options.MaxCommands <= 0 {
		return
	}
	for range w.random.IntN(w.options.MaxCommands + 1) {
		at := time.Second + time.Duration(w.random.Int64N(int64(w.options.LoadDuration)))
		w.queue.At(at, func() { w.sendCommand(w.newCommand(), 1) })
	}
}

// newCommand draws a command.
func (w *world) newCommand() command {
	w.commandCount++
	drawn := command{operator: w.commandCount % operatorCount, token: fmt.Sprintf("token-%d", w.commandCount)}
	if w.random.Float64() < expectedRevisionChance {
		drawn.expected = w.tables.revision
	}
	engineName := w.engines[w.random.IntN(max(len(w.engines)/3, 1))].id
	version := versions[w.random.IntN(len(versions))]
	statements := []string{
		fmt.Sprintf("drain %s", engineName),
		fmt.Sprintf("admit %s", engineName),
		fmt.Sprintf("retire %s", engineName),
		fmt.Sprintf("promote %s %s", model, version),
		fmt.Sprintf("promote %s %s", model, version),
		fmt.Sprintf("retire version %s %s", model, version),
	}
	drawn.statement = statements[w.random.IntN(len(statements))]
	return drawn
}

// sendCommand sends a command to a random router. While the outcome is unknown it is retried with
// the same token.
func (w *world) sendCommand(sent command, attempt int) {
	target := w.routers[w.random.IntN(len(w.routers))]
	console := &process{world: w, address: "10.5.0.1:0", zone: zones[0], alive: true}
	number := w.recordInvocation(sent, target)
	serve := func(reply func(any) time.Duration) { reply(target.execute(sent)) }
	w.network.call(console, &target.process, commandTimeout, serve, func(answer any, outcome callOutcome) {
		result := commandResult{noEffect: outcome == refused}
		if outcome == answered {
			result = answer.(commandResult)
		}
		w.recordReturn(number, result)
		if !result.definite && attempt < commandAttempts {
			console.after(time.Duration(w.random.Int64N(int64(time.Second))), func() { w.sendCommand(sent, attempt+1) })
		}
	})
}

func (w *world) recordInvocation(sent command, target *router) int {
	w.commandCalls++
	w.record(history.CommandInvoked{
		Call: w.commandCalls, Operator: sent.operator, Router: target.node, Token: sent.token, Expected: sent.expected, Statement: sent.statement,
	})
	return w.commandCalls
}

func (w *world) recordReturn(number int, result commandResult) {
	w.record(history.CommandReturned{
		Call: number, Code: result.code, Revision: result.revision, Definite: result.definite, NoEffect: result.noEffect,
	})
}

// runCompetingCommand executes another operator's command, with probability competingCommandChance,
// between the reads and the commit of the current one.
func (w *world) runCompetingCommand(from *process) {
	if w.competing || w.random.Float64() >= competingCommandChance {
		return
	}
	w.competing = true
	defer func() { w.competing = false }()
	for _, other := range w.routers {
		if other.alive && &other.process != from && other.now() >= other.frozenUntil {
			sent := w.newCommand()
			number := w.recordInvocation(sent, other)
			w.recordReturn(number, other.execute(sent))
			return
		}
	}
}

// execute serves a statement.
func (r *router) execute(sent command) commandResult {
	store := &commandStore{store: r.store}
	runner := operator.NewRunner(operatorSource{router: r}, store, r)
	result := runner.Run(context.Background(), operator.Request{
		Statement: sent.statement, Token: sent.token, ExpectedRevision: sent.expected,
	})
	_, err := r.store.Refresh(context.Background(), r.holder)
	if err == nil {
		r.applyConfiguration()
	}
	return commandResult{
		code: result.Code, revision: result.Revision,
		definite: store.definite, noEffect: !store.definite && result.Code != resultcode.CommandUncertain,
	}
}

// commandStore is the router's store for commands. It records whether the outcome of a commit is
// known for certain.
type commandStore struct {
	store    *config.Store
	definite bool
}

var _ operator.Store = (*commandStore)(nil)

// Commit implements operator.Store.
func (s *commandStore) Commit(ctx context.Context, change operator.Change) (operator.Outcome, error) {
	outcome, err := s.store.Commit(ctx, config.CommitRequest{
		Token: change.Token, ExpectedRevision: change.ExpectedRevision, Statement: change.Statement, Mutate: change.Mutate,
	})
	s.definite = err == nil
	return operator.Outcome{
		Code: outcome.Code, Revision: outcome.Revision, Message: outcome.Message, Statement: outcome.Statement,
	}, err
}

// Lookup implements operator.Store.
func (s *commandStore) Lookup(context.Context, string) (operator.Outcome, bool, error) {
	return operator.Outcome{}, false, errors.New("lookup of a command's outcome is not simulated")
}

// operatorSource is the router's state that statements read.
type operatorSource struct{ router *router }

var _ operator.Source = operatorSource{}

// Configuration implements operator.Source.
func (s operatorSource) Configuration() (config.Document, bool) {
	view := s.router.holder.Current()
	if view == nil {
		return config.Document{}, false
	}
	return view.Document(), true
}

// Engines implements operator.Source.
func (s operatorSource) Engines() []operator.Engine {
	var engines []operator.Engine
	for _, snapshot := range s.router.core.Snapshot(s.router.now()).Engines {
		engines = append(engines, operator.Engine{Run: snapshot.Run})
	}
	return engines
}

// Routers implements operator.Source.
func (s operatorSource) Routers() []operator.Router { return nil }

// Waiting implements operator.Source.
func (s operatorSource) Waiting() []operator.Waiting { return nil }

// Holders implements operator.Source.
func (s operatorSource) Holders([]fleet.BlockHash) []operator.Holder { return nil }

// RequestBlocks implements operator.Source.
func (s operatorSource) RequestBlocks(fleet.RequestID) ([]fleet.BlockHash, bool) { return nil, false }

// Explain implements operator.Source.
func (s operatorSource) Explain(fleet.RequestID) (operator.Explanation, bool) {
	return operator.Explanation{}, false
}

// Version implements operator.Source.
func (s operatorSource) Version() string { return "simulation" }
