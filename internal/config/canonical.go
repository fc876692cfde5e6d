package config

import (
	"cmp"
	"slices"
	"strings"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// directiveKey identifies a directive in a document.
type directiveKey struct {
	engine      fleet.EngineID
	incarnation fleet.Incarnation
	kind        DirectiveKind
}

func keyOf(directive Directive) directiveKey {
	return directiveKey{engine: directive.Engine, incarnation: directive.Incarnation, kind: directive.Kind}
}

// Canonical returns a deep copy of a document with items sorted by name and empty lists set to nil.
// Equal configurations have equal canonical documents.
func Canonical(document Document) Document {
	return Document{
		Revision:   document.Revision,
		Tenants:    canonicalTenants(document.Tenants),
		Classes:    sortedCopy(document.Classes, func(c Class) string { return string(c.Name) }),
		Models:     canonicalModels(document.Models),
		Pools:      sortedCopy(document.Pools, func(p Pool) string { return string(p.Name) }),
		Directives: canonicalDirectives(document.Directives),
	}
}

func sortedCopy[Item any](items []Item, name func(Item) string) []Item {
	if len(items) == 0 {
		return nil
	}
	sorted := slices.Clone(items)
	slices.SortStableFunc(sorted, func(a, b Item) int { return strings.Compare(name(a), name(b)) })
	return sorted
}

func canonicalTenants(tenants []Tenant) []Tenant {
	sorted := sortedCopy(tenants, func(t Tenant) string { return string(t.Name) })
	for index := range sorted {
		sorted[index] = canonicalTenant(sorted[index])
	}
	return sorted
}

func canonicalTenant(tenant Tenant) Tenant {
	tenant.KeyHashes = cloneList(tenant.KeyHashes)
	tenant.Classes = cloneList(tenant.Classes)
	tenant.Models = cloneList(tenant.Models)
	return tenant
}

func canonicalModels(models []Model) []Model {
	sorted := sortedCopy(models, func(m Model) string { return string(m.Name) })
	for index := range sorted {
		sorted[index] = canonicalModel(sorted[index])
	}
	return sorted
}

func canonicalModel(model Model) Model {
	model.Versions = cloneList(model.Versions)
	model.Adapters = cloneList(model.Adapters)
	for index := range model.Adapters {
		model.Adapters[index].Versions = cloneList(model.Adapters[index].Versions)
	}
	return model
}

func canonicalDirectives(directives []Directive) []Directive {
	sorted := cloneList(directives)
	slices.SortStableFunc(sorted, func(a, b Directive) int {
		return cmp.Or(
			cmp.Compare(a.Engine, b.Engine),
			cmp.Compare(a.Incarnation, b.Incarnation),
			cmp.Compare(a.Kind, b.Kind),
		)
	})
	return sorted
}

// cloneList copies a list. An empty list becomes nil.
func cloneList[Item any](items []Item) []Item {
	if len(items) == 0 {
		return nil
	}
	return slices.Clone(items)
}
