package operator

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/prompt"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// PlanError describes why a syntactically valid statement can't be planned or its command can't be
// applied.
type PlanError struct {
	Code resultcode.Code
	// Column is the position of the invalid word in characters, from 1; 0 if the error isn't due to
	// a word.
	Column  int
	Message string
}

// Error implements error.
func (e *PlanError) Error() string {
	if e.Column == 0 {
		return e.Message
	}
	return fmt.Sprintf("column %d: %s", e.Column, e.Message)
}

// Unwrap returns the error with its result code, which is recorded if a mutation fails.
func (e *PlanError) Unwrap() error { return resultcode.New(e.Code, e.Error()) }

// Plan is the executable form of a statement. Exactly one field is set.
type Plan struct {
	// Query reads the router's state.
	Query func() Result
	// Command changes the configuration.
	Command *Command
	// LookupToken is the token of the command whose outcome is requested.
	LookupToken string
}

// Command is a change of the configuration.
type Command struct {
	Mutate Mutation
	// Promotes returns the model versions that the command makes serving, given the configuration
	// that it is applied to. It is nil if the command promotes none.
	Promotes func(before config.Document) []fleet.ModelVersion
}

// MakePlan resolves the names in a statement against the router's state. Its errors are *PlanError.
func MakePlan(statement *Statement, source Source) (Plan, error) {
	switch {
	case statement.Show != nil:
		return planShow(statement.Show, source)
	case statement.Where != nil:
		return planWhere(statement.Where, source)
	case statement.Explain != nil:
		request := fleet.RequestID(statement.Explain.Text)
		return Plan{Query: func() Result { return explainRequest(source, request) }}, nil
	case statement.Lookup != nil:
		return Plan{LookupToken: statement.Lookup.Text}, nil
	case statement.Apply != nil:
		return planApply(*statement.Apply)
	}
	return planCommand(statement, source)
}

func planCommand(statement *Statement, source Source) (Plan, error) {
	switch {
	case statement.Admit != nil:
		return planEngine(statement.Admit, source, admitEngine)
	case statement.Drain != nil:
		return planEngine(statement.Drain, source, directiveMutation(config.DirectiveDrain, ""))
	case statement.Retire != nil && statement.Retire.Engine != nil:
		return planEngine(statement.Retire.Engine, source, directiveMutation(config.DirectiveRetire, ""))
	case statement.Role != nil:
		return planEngine(statement.Role.Engine, source, directiveMutation(config.DirectiveRole, statement.Role.Role))
	case statement.Retire != nil:
		return planVersion(statement.Retire.Version, false)
	case statement.Promote != nil:
		return planVersion(statement.Promote, true)
	}
	return Plan{}, &PlanError{Code: resultcode.StatementUnknown, Column: 1, Message: "unknown statement"}
}

// directiveMutation returns a function that creates the setDirective mutation for a run.
func directiveMutation(kind config.DirectiveKind, role string) func(fleet.EngineRun) Mutation {
	return func(run fleet.EngineRun) Mutation { return setDirective(run, kind, role) }
}

// planEngine plans a command for the current run of the named engine.
func planEngine(name *Word, source Source, mutation func(fleet.EngineRun) Mutation) (Plan, error) {
	engines := source.Engines()
	position := slices.IndexFunc(engines, func(engine Engine) bool { return string(engine.Run.Engine) == name.Text })
	if position < 0 {
		return Plan{}, notFound(name, "engine")
	}
	run := engines[position].Run
	if run.Incarnation == 0 {
		// A directive without an incarnation would match no run and never take effect.
		return Plan{}, &PlanError{
			Code: resultcode.CommandImpossible, Column: name.Pos.Column,
			Message: fmt.Sprintf("this router hasn't heard yet which run of engine %q is up", run.Engine),
		}
	}
	return Plan{Command: &Command{Mutate: mutation(run)}}, nil
}

func notFound(name *Word, noun string) *PlanError {
	return &PlanError{Code: resultcode.TargetNotFound, Column: name.Pos.Column, Message: fmt.Sprintf("no %s %q", noun, name.Text)}
}

func planVersion(reference *VersionReference, promote bool) (Plan, error) {
	target := parseModelName(reference.Target.Text)
	target.Version = fleet.VersionName(reference.Version.Text)
	if target.Model == "" {
		return Plan{}, notFound(reference.Target, "model")
	}
	if !promote {
		return Plan{Command: &Command{Mutate: withErrorColumn(reference, target, retireVersion(target))}}, nil
	}
	promotes := func(config.Document) []fleet.ModelVersion { return []fleet.ModelVersion{target} }
	return Plan{Command: &Command{Mutate: withErrorColumn(reference, target, promoteVersion(target)), Promotes: promotes}}, nil
}

// withErrorColumn wraps a mutation so that a TargetNotFound error carries the column of the unknown
// target or version. This is resolved in the mutation, because the router's configuration may be
// stale.
func withErrorColumn(reference *VersionReference, target fleet.ModelVersion, mutation Mutation) Mutation {
	return func(document config.Document) (config.Document, error) {
		next, err := mutation(document)
		var notFoundError *resultcode.Error
		if !errors.As(err, &notFoundError) || notFoundError.Code != resultcode.TargetNotFound {
			return next, err
		}
		word := reference.Version
		if _, missing := versionsOf(&document, target); missing != nil {
			word = reference.Target
		}
		return next, &PlanError{Code: notFoundError.Code, Column: word.Pos.Column, Message: notFoundError.Message}
	}
}

// parseModelName parses "model" or "model:adapter".
func parseModelName(text string) fleet.ModelVersion {
	model, adapter, _ := strings.Cut(text, config.AdapterSeparator)
	return fleet.ModelVersion{Model: fleet.ModelName(model), Adapter: fleet.AdapterName(adapter)}
}

func planApply(source string) (Plan, error) {
	document, problems := config.Parse([]byte(source))
	if err := problems.Err(); err != nil {
		return Plan{}, &PlanError{Code: resultcode.ConfigInvalid, Message: err.Error()}
	}
	promotes := func(before config.Document) []fleet.ModelVersion { return newlyServing(before, *document) }
	return Plan{Command: &Command{Mutate: replaceConfiguration(*document), Promotes: promotes}}, nil
}

// newlyServing returns the versions that replace another serving version in a change. New models
// and adapters are excluded, because they take over no traffic from a loaded version.
func newlyServing(before, after config.Document) []fleet.ModelVersion {
	previous := servingVersions(before)
	var changed []fleet.ModelVersion
	for _, modelVersion := range servingVersions(after) {
		replaces := func(old fleet.ModelVersion) bool {
			return old.Model == modelVersion.Model && old.Adapter == modelVersion.Adapter && old.Version != modelVersion.Version
		}
		if slices.ContainsFunc(previous, replaces) {
			changed = append(changed, modelVersion)
		}
	}
	return changed
}

// servingVersions returns the serving versions of all models and adapters.
func servingVersions(document config.Document) []fleet.ModelVersion {
	var serving []fleet.ModelVersion
	add := func(model fleet.ModelName, adapter fleet.AdapterName, versions []config.Version) {
		for _, version := range versions {
			if version.State == config.VersionServing {
				serving = append(serving, fleet.ModelVersion{Model: model, Adapter: adapter, Version: version.Name})
			}
		}
	}
	for _, model := range document.Models {
		add(model.Name, "", model.Versions)
		for _, adapter := range model.Adapters {
			add(model.Name, adapter.Name, adapter.Versions)
		}
	}
	return serving
}

func planWhere(where *WhereStatement, source Source) (Plan, error) {
	if where.Request != nil {
		return planRequestPrefix(where.Request, source)
	}
	if where.Prefix.Hash != nil {
		return planHash(where.Prefix.Hash, source)
	}
	return planText(where.Prefix.Text, source)
}

func planRequestPrefix(name *Word, source Source) (Plan, error) {
	hashes, found := source.RequestBlocks(fleet.RequestID(name.Text))
	if !found {
		return Plan{}, &PlanError{
			Code: resultcode.TargetNotFound, Column: name.Pos.Column, Message: unknownRequestMessage(fleet.RequestID(name.Text)),
		}
	}
	return planHolders(hashes, source), nil
}

// unknownRequestMessage mentions the router, because only the router that placed a request has its
// record.
func unknownRequestMessage(request fleet.RequestID) string {
	return fmt.Sprintf("no recent request %q at this router", request)
}

func planHash(word *Word, source Source) (Plan, error) {
	hash, err := strconv.ParseUint(strings.TrimPrefix(word.Text, "0x"), 16, 64)
	if err != nil {
		return Plan{}, &PlanError{
			Code: resultcode.StatementSyntax, Column: word.Pos.Column,
			Message: fmt.Sprintf("%q is not a hexadecimal block hash of up to 16 digits", word.Text),
		}
	}
	return planHolders([]fleet.BlockHash{fleet.BlockHash(hash)}, source), nil
}

func planText(prefix *ScopedPrefix, source Source) (Plan, error) {
	document, known := source.Configuration()
	if !known {
		return Plan{}, &PlanError{Code: resultcode.NoConfiguration, Message: "no configuration is known yet"}
	}
	if !slices.ContainsFunc(document.Tenants, func(t config.Tenant) bool { return string(t.Name) == prefix.Tenant.Text }) {
		return Plan{}, notFound(prefix.Tenant, "tenant")
	}
	target := parseModelName(prefix.Model.Text)
	for _, modelVersion := range servingVersions(document) {
		if modelVersion.Model != target.Model || modelVersion.Adapter != target.Adapter {
			continue
		}
		scope := fleet.CacheScope{Tenant: fleet.TenantName(prefix.Tenant.Text), ModelVersion: modelVersion}
		hashes := prompt.HashBlocks(scope, prefix.Text.Text, blockTokens(document, modelVersion.Model))
		if len(hashes) == 0 {
			return Plan{}, &PlanError{
				Code: resultcode.StatementSyntax, Column: prefix.Text.Pos.Column, Message: "the text is shorter than one cache block",
			}
		}
		return planHolders(hashes, source), nil
	}
	return Plan{}, notFound(prefix.Model, "model")
}

func blockTokens(document config.Document, name fleet.ModelName) int {
	position := slices.IndexFunc(document.Models, func(model config.Model) bool { return model.Name == name })
	return document.Models[position].BlockTokens
}

func planHolders(hashes []fleet.BlockHash, source Source) Plan {
	return Plan{Query: func() Result { return listHolders(source, hashes) }}
}
