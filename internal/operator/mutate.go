package operator

import (
	"fmt"
	"slices"

	"github.com/tillerfall/tillerfall/internal/config"
	"github.com/tillerfall/tillerfall/internal/fleet"
	"github.com/tillerfall/tillerfall/internal/resultcode"
)

// Mutation is a pure function from one configuration to the next. It may run
// several times, each time on a newer configuration. Its errors are
// *resultcode.Error.
type Mutation func(config.Document) (config.Document, error)

// admitEngine ends the drain of a run of an engine. A retired run has been told
// itself to leave, which sticks to it; its next run is admitted by itself.
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
		next.Directives = slices.DeleteFunc(next.Directives, isDirective(run, config.DirectiveDrain))
		return next, nil
	}
}

func hasDirective(document config.Document, run fleet.EngineRun, kind config.DirectiveKind) bool {
	return slices.ContainsFunc(document.Directives, isDirective(run, kind))
}

func isDirective(run fleet.EngineRun, kind config.DirectiveKind) func(config.Directive) bool {
	return func(directive config.Directive) bool {
		return concerns(directive, run) && directive.Kind == kind
	}
}

// directEngine sets a standing order, in place of an earlier one of its kind.
func directEngine(run fleet.EngineRun, kind config.DirectiveKind, role string) Mutation {
	return func(document config.Document) (config.Document, error) {
		next := config.Canonical(document)
		next.Directives = slices.DeleteFunc(next.Directives, func(directive config.Directive) bool {
			return supersededBy(directive, run, kind)
		})
		next.Directives = append(next.Directives, config.Directive{
			Engine: run.Engine, Incarnation: run.Incarnation, Kind: kind, Role: role,
		})
		return config.Canonical(next), nil
	}
}

func concerns(directive config.Directive, run fleet.EngineRun) bool {
	return directive.Engine == run.Engine && directive.Incarnation == run.Incarnation
}

// supersededBy tells whether a new order ends an earlier one: the same order
// of the same run, or any order of a run that is over.
func supersededBy(directive config.Directive, run fleet.EngineRun, kind config.DirectiveKind) bool {
	if directive.Engine != run.Engine {
		return false
	}
	return directive.Incarnation < run.Incarnation || (directive.Incarnation == run.Incarnation && directive.Kind == kind)
}

// promoteVersion makes a version the serving one. The version that served
// before stays loaded until it is retired, for requests that were admitted
// under it and for a way back.
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

// retireVersion takes a version that doesn't serve out of use.
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

// changeVersions changes the versions of the model or adapter that a target is
// a version of; position is the target's among them. If change fails, the
// document stays as it was.
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

// replaceAll puts a whole configuration in place of the present one. Operators'
// orders of single engines stay: a file doesn't hold them.
func replaceAll(replacement config.Document) Mutation {
	return func(document config.Document) (config.Document, error) {
		next := config.Canonical(replacement)
		next.Revision = document.Revision
		next.Directives = slices.Clone(document.Directives)
		return next, nil
	}
}

// versionsOf returns the versions of a model or adapter inside a document.
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

func findVersion(versions []config.Version, target fleet.ModelVersion) (int, error) {
	position := slices.IndexFunc(versions, func(version config.Version) bool { return version.Name == target.Version })
	if position < 0 {
		return 0, resultcode.New(resultcode.TargetNotFound, fmt.Sprintf("no version %q of %s", target.Version, weightsName(target)))
	}
	return position, nil
}

func weightsName(weights fleet.ModelVersion) string {
	if weights.Adapter == "" {
		return string(weights.Model)
	}
	return string(weights.Model) + config.AdapterSeparator + string(weights.Adapter)
}
