package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"

	"github.com/go-faster/errors"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// ErrRevisionGap means that a change does not directly follow the revision it is applied to.
var ErrRevisionGap = errors.New("the change doesn't follow this revision")

// ItemKind identifies the list of a document that an item belongs to.
type ItemKind string

// Kinds of items.
const (
	ItemTenant    ItemKind = "tenant"
	ItemClass     ItemKind = "class"
	ItemModel     ItemKind = "model"
	ItemPool      ItemKind = "pool"
	ItemDirective ItemKind = "directive"
)

// ItemChange adds, replaces or deletes one item of a document.
type ItemChange struct {
	Kind ItemKind `json:"kind"`
	// Name identifies the item within its list.
	Name string `json:"name"`
	// Value is the complete new item. It is absent if the item is deleted.
	Value json.RawMessage `json:"value,omitempty"`
}

// Change is the difference between Revision and the preceding revision.
type Change struct {
	Revision fleet.Revision `json:"revision"`
	Patch    []ItemChange   `json:"patch"`
}

// itemName returns the name of a directive in a change.
func (d Directive) itemName() string {
	return fmt.Sprintf("%s/%d/%s", d.Engine, d.Incarnation, d.Kind)
}

func tenantName(t Tenant) string       { return string(t.Name) }
func className(c Class) string         { return string(c.Name) }
func modelName(m Model) string         { return string(m.Name) }
func poolName(p Pool) string           { return string(p.Name) }
func directiveName(d Directive) string { return d.itemName() }

// Diff returns the change from one document to the next. It has the revision of the next document.
func Diff(before, after Document) (Change, error) {
	before, after = Canonical(before), Canonical(after)
	change := Change{Revision: after.Revision}
	err := errors.Join(
		diffItems(&change, ItemTenant, before.Tenants, after.Tenants, tenantName),
		diffItems(&change, ItemClass, before.Classes, after.Classes, className),
		diffItems(&change, ItemModel, before.Models, after.Models, modelName),
		diffItems(&change, ItemPool, before.Pools, after.Pools, poolName),
		diffItems(&change, ItemDirective, before.Directives, after.Directives, directiveName),
	)
	return change, err
}

func diffItems[Item any](change *Change, kind ItemKind, before, after []Item, name func(Item) string) error {
	old := make(map[string]Item, len(before))
	for _, item := range before {
		old[name(item)] = item
	}
	for _, item := range after {
		earlier, existed := old[name(item)]
		delete(old, name(item))
		if existed && reflect.DeepEqual(earlier, item) {
			continue
		}
		value, err := json.Marshal(item)
		if err != nil {
			return errors.Wrapf(err, "encode %s %q", kind, name(item))
		}
		change.Patch = append(change.Patch, ItemChange{Kind: kind, Name: name(item), Value: value})
	}
	for _, item := range before {
		if _, deleted := old[name(item)]; deleted {
			change.Patch = append(change.Patch, ItemChange{Kind: kind, Name: name(item)})
		}
	}
	return nil
}

// Apply returns the document after a change, in canonical order. It returns ErrRevisionGap unless
// the change directly follows the document's revision. It does not validate the result; NewView
// does.
func Apply(document Document, change Change) (Document, error) {
	if change.Revision != document.Revision+1 {
		return Document{}, ErrRevisionGap
	}
	next := document
	next.Revision = change.Revision
	next.Tenants = slices.Clone(document.Tenants)
	next.Classes = slices.Clone(document.Classes)
	next.Models = slices.Clone(document.Models)
	next.Pools = slices.Clone(document.Pools)
	next.Directives = slices.Clone(document.Directives)
	for _, item := range change.Patch {
		if err := applyItem(&next, item); err != nil {
			return Document{}, errors.Wrapf(err, "apply %s %q", item.Kind, item.Name)
		}
	}
	return Canonical(next), nil
}

func applyItem(document *Document, item ItemChange) error {
	switch item.Kind {
	case ItemTenant:
		return replaceItem(&document.Tenants, item, tenantName)
	case ItemClass:
		return replaceItem(&document.Classes, item, className)
	case ItemModel:
		return replaceItem(&document.Models, item, modelName)
	case ItemPool:
		return replaceItem(&document.Pools, item, poolName)
	case ItemDirective:
		return replaceItem(&document.Directives, item, directiveName)
	default:
		return errors.New("unknown item kind")
	}
}

func replaceItem[Item any](items *[]Item, item ItemChange, name func(Item) string) error {
	index := slices.IndexFunc(*items, func(candidate Item) bool { return name(candidate) == item.Name })
	if len(item.Value) == 0 {
		if index >= 0 {
			*items = slices.Delete(*items, index, index+1)
		}
		return nil
	}
	var value Item
	if err := json.Unmarshal(item.Value, &value); err != nil {
		return err
	}
	if name(value) != item.Name {
		return errors.Errorf("the item's value has name %q", name(value))
	}
	if index >= 0 {
		(*items)[index] = value
		return nil
	}
	*items = append(*items, value)
	return nil
}
