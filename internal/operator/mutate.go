package operator

import (
	"fmt"
	"slices"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Mutation is a pure function that derives the next configuration from the current one. A commit
// may run it several times, each time on a newer configuration. Its errors are *resultcode.Error or
// wrap one.
type Mutation func(config.Document) (config.Document, error)

// admitEngine removes the drain directive of an engine run. It fails for a retired run, because the
// engine itself was ordered to leave; its next run is admitted without a command.
func admitEngine(run fleet.EngineRun) Mutation {
	return func(document config.Document) (config.Document, error) {
		if hasDirective(document, run, config.DirectiveRetire) {
			return document, resultcode.New(resultcode.CommandImpossible,
				fmt.Sprintf("this run of engine %q is retired; its next run is admitted by itself", run.Engine))
		}
		if !hasDirective(document, run, config.DirectiveDrain) {
			return document, resultcode.New(resultcode.CommandImpossible, fmt.Sprintf("engine %q isn't drained", run.Engine))
		}
		next := config.Canonical(document)
		next.Directives = slices.DeleteFunc(next.Directives, matchDirective(run, config.DirectiveDrain))
		return next, nil
	}
}

// hasDirective reports whether the run has a directive of the kind.
func hasDirective(document config.Document, run fleet.EngineRun, kind config.DirectiveKind) bool {
	return slices.ContainsFunc(document.Directives, matchDirective(run, kind))
}

// matchDirective returns a predicate for the directives of a kind for a run.
func matchDirective(run fleet.EngineRun, kind config.DirectiveKind) func(config.Directive) bool {
	return func(directive config.Directive) bool {
		return appliesTo(directive, run) && directive.Kind == kind
	}
}

// setDirective adds a directive for a run and removes those that it supersedes.
func setDirective(run fleet.EngineRun, kind config.DirectiveKind, role string) Mutation {
	return func(document config.Document) (config.Document, error) {
		next := config.Canonical(document)
		next.Directives = slices.DeleteFunc(next.Directives, func(directive config.Directive) bool {
			return isSuperseded(directive, run, kind)
		})
		next.Directives = append(next.Directives, config.Directive{
			Engine: run.Engine, Incarnation: run.Incarnation, Kind: kind, Role: role,
		})
		return config.Canonical(next), nil
	}
}

// appliesTo reports whether a directive is for the given run.
func appliesTo(directive config.Directive, run fleet.EngineRun) bool {
	return directive.Engine == run.Engine && directive.Incarnation == run.Incarnation
}

// isSuperseded reports whether a new directive for a run replaces an existing one: a directive of
// the same kind and run, or any directive of an earlier run of the engine.
func isSuperseded(directive config.Directive, run fleet.EngineRun, kind config.DirectiveKind) bool {
	if directive.Engine != run.Engine {
		return false
	}
	return directive.Incarnation < run.Incarnation || (directive.Incarnation == run.Incarnation && directive.Kind == kind)
}

// promoteVersion makes a version the serving one. The previously serving version stays loaded until
// it is retired, for requests that were admitted with it and for a rollback.
func promoteVersion(target fleet.ModelVersion) Mutation {
	return changeVersions(target, func(versions []config.Version, position int) error {
		switch versions[position].State {
		case config.VersionServing:
			return resultcode.New(resultcode.CommandImpossible, fmt.Sprintf("version %q is serving already", target.Version))
		case config.VersionRetired:
			return resultcode.New(resultcode.CommandImpossible, fmt.Sprintf("version %q is retired", target.Version))
		}
		for index := range versions {
			if versions[index].State == config.VersionServing {
				versions[index].State = config.VersionLoading
			}
		}
		versions[position].State = config.VersionServing
		return nil
	})
}

// retireVersion retires a version that isn't serving.
func retireVersion(target fleet.ModelVersion) Mutation {
	return changeVersions(target, func(versions []config.Version, position int) error {
		if versions[position].State == config.VersionServing {
			return resultcode.New(resultcode.CommandImpossible,
				fmt.Sprintf("version %q is serving; promote another first", target.Version))
		}
		versions[position].State = config.VersionRetired
		return nil
	})
}

// changeVersions returns a mutation that applies change to all versions of the target's model or
// adapter, where position is the index of the target version. If change fails, the mutation returns
// the document unmodified.
func changeVersions(target fleet.ModelVersion, change func(versions []config.Version, position int) error) Mutation {
	return func(document config.Document) (config.Document, error) {
		next := config.Canonical(document)
		versions, err := versionsOf(&next, target)
		if err != nil {
			return document, err
		}
		position, err := findVersion(versions, target)
		if err != nil {
			return document, err
		}
		if err := change(versions, position); err != nil {
			return document, err
		}
		return next, nil
	}
}

// replaceConfiguration replaces the whole configuration except its revision and directives, which a
// configuration file doesn't contain.
func replaceConfiguration(replacement config.Document) Mutation {
	return func(document config.Document) (config.Document, error) {
		next := config.Canonical(replacement)
		next.Revision = document.Revision
		next.Directives = slices.Clone(document.Directives)
		return next, nil
	}
}

// versionsOf returns the versions of the target's model or adapter. The slice aliases the document.
func versionsOf(document *config.Document, target fleet.ModelVersion) ([]config.Version, error) {
	position := slices.IndexFunc(document.Models, func(model config.Model) bool { return model.Name == target.Model })
	if position < 0 {
		return nil, resultcode.New(resultcode.TargetNotFound, fmt.Sprintf("no model %q", target.Model))
	}
	model := &document.Models[position]
	if target.Adapter == "" {
		return model.Versions, nil
	}
	position = slices.IndexFunc(model.Adapters, func(adapter config.Adapter) bool { return adapter.Name == target.Adapter })
	if position < 0 {
		return nil, resultcode.New(resultcode.TargetNotFound, fmt.Sprintf("model %q has no adapter %q", target.Model, target.Adapter))
	}
	return model.Adapters[position].Versions, nil
}

// findVersion returns the index of the target version.
func findVersion(versions []config.Version, target fleet.ModelVersion) (int, error) {
	position := slices.IndexFunc(versions, func(version config.Version) bool { return version.Name == target.Version })
	if position < 0 {
		return 0, resultcode.New(resultcode.TargetNotFound, fmt.Sprintf("no version %q of %s", target.Version, formatModelName(target)))
	}
	return position, nil
}

// formatModelName returns "model" or "model:adapter".
func formatModelName(target fleet.ModelVersion) string {
	if target.Adapter == "" {
		return string(target.Model)
	}
	return string(target.Model) + config.AdapterSeparator + string(target.Adapter)
}
