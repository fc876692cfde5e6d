package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// AdapterSeparator separates the names of the model and the adapter in a requested model.
const AdapterSeparator = ":"

// View is an immutable revision of the configuration with constant-time lookups. Callers must not
// modify what its methods return.
type View struct {
	document        Document
	tenants         map[fleet.TenantName]Tenant
	tenantByKey     map[string]fleet.TenantName
	classes         map[fleet.ClassName]Class
	classesByRank   []Class
	models          map[fleet.ModelName]Model
	pools           map[fleet.PoolName]Pool
	servingVersions map[variant]fleet.VersionName
	versionStates   map[fleet.ModelVersion]VersionState
	directives      map[fleet.EngineRun][]Directive
}

// variant identifies a base model or one of its adapters.
type variant struct {
	model   fleet.ModelName
	adapter fleet.AdapterName
}

// NewView validates a document and builds its indexes. A returned error is of type Problems.
func NewView(document Document) (*View, error) {
	if err := Check(document).Err(); err != nil {
		return nil, err
	}
	view := &View{
		document:        Canonical(document),
		tenants:         make(map[fleet.TenantName]Tenant, len(document.Tenants)),
		tenantByKey:     make(map[string]fleet.TenantName, len(document.Tenants)),
		classes:         make(map[fleet.ClassName]Class, len(document.Classes)),
		models:          make(map[fleet.ModelName]Model, len(document.Models)),
		pools:           make(map[fleet.PoolName]Pool, len(document.Pools)),
		servingVersions: make(map[variant]fleet.VersionName),
		versionStates:   make(map[fleet.ModelVersion]VersionState),
		directives:      make(map[fleet.EngineRun][]Directive),
	}
	view.indexTenants()
	view.indexClasses()
	view.indexModels()
	view.indexPoolsAndDirectives()
	return view, nil
}

func (v *View) indexTenants() {
	for _, tenant := range v.document.Tenants {
		v.tenants[tenant.Name] = tenant
		for _, hash := range tenant.KeyHashes {
			v.tenantByKey[hash] = tenant.Name
		}
	}
}

func (v *View) indexClasses() {
	for _, class := range v.document.Classes {
		v.classes[class.Name] = class
	}
	v.classesByRank = slices.Clone(v.document.Classes)
	slices.SortFunc(v.classesByRank, func(a, b Class) int { return cmp.Compare(a.Rank, b.Rank) })
}

func (v *View) indexModels() {
	for _, model := range v.document.Models {
		v.models[model.Name] = model
		v.indexVersions(variant{model: model.Name}, model.Versions)
		for _, adapter := range model.Adapters {
			v.indexVersions(variant{model: model.Name, adapter: adapter.Name}, adapter.Versions)
		}
	}
}

func (v *View) indexVersions(target variant, versions []Version) {
	for _, version := range versions {
		modelVersion := fleet.ModelVersion{Model: target.model, Adapter: target.adapter, Version: version.Name}
		v.versionStates[modelVersion] = version.State
		if version.State == VersionServing {
			v.servingVersions[target] = version.Name
		}
	}
}

func (v *View) indexPoolsAndDirectives() {
	for _, pool := range v.document.Pools {
		v.pools[pool.Name] = pool
	}
	for _, directive := range v.document.Directives {
		run := fleet.EngineRun{Engine: directive.Engine, Incarnation: directive.Incarnation}
		v.directives[run] = append(v.directives[run], directive)
	}
}

// Revision returns the configuration's revision.
func (v *View) Revision() fleet.Revision { return v.document.Revision }

// Document returns the configuration in canonical order. Callers that modify it must first copy it
// with Canonical.
func (v *View) Document() Document { return v.document }

// HashKey returns the lower-case hexadecimal SHA-256 of an API key, the form stored in a
// configuration.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// TenantByKey returns the tenant that an API key belongs to.
func (v *View) TenantByKey(key string) (Tenant, bool) {
	return v.TenantByKeyHash(HashKey(key))
}

// TenantByKeyHash returns the tenant that a hashed API key belongs to.
func (v *View) TenantByKeyHash(hash string) (Tenant, bool) {
	name, found := v.tenantByKey[hash]
	if !found {
		return Tenant{}, false
	}
	return v.Tenant(name)
}

// Tenant returns a tenant by name.
func (v *View) Tenant(name fleet.TenantName) (Tenant, bool) {
	tenant, found := v.tenants[name]
	return tenant, found
}

// Class returns a priority class by name.
func (v *View) Class(name fleet.ClassName) (Class, bool) {
	class, found := v.classes[name]
	return class, found
}

// Classes returns the priority classes by ascending rank, the highest priority first.
func (v *View) Classes() []Class { return v.classesByRank }

// Model returns a model by name.
func (v *View) Model(name fleet.ModelName) (Model, bool) {
	model, found := v.models[name]
	return model, found
}

// Pool returns a pool by name.
func (v *View) Pool(name fleet.PoolName) (Pool, bool) {
	pool, found := v.pools[name]
	return pool, found
}

// ServingVersion returns the serving version of a model or, if adapter is not empty, of the model's
// adapter.
func (v *View) ServingVersion(model fleet.ModelName, adapter fleet.AdapterName) (fleet.VersionName, bool) {
	version, found := v.servingVersions[variant{model: model, adapter: adapter}]
	return version, found
}

// ResolveModel returns the serving version and the base model for the name in a request, "model" or
// "model:adapter".
func (v *View) ResolveModel(requested string) (fleet.ModelVersion, Model, bool) {
	modelName, adapterName, hasAdapter := strings.Cut(requested, AdapterSeparator)
	if hasAdapter && adapterName == "" {
		return fleet.ModelVersion{}, Model{}, false
	}
	resolved := fleet.ModelVersion{Model: fleet.ModelName(modelName), Adapter: fleet.AdapterName(adapterName)}
	version, found := v.ServingVersion(resolved.Model, resolved.Adapter)
	if !found {
		return fleet.ModelVersion{}, Model{}, false
	}
	resolved.Version = version
	return resolved, v.models[resolved.Model], true
}

// VersionState returns the lifecycle state of a version, or false if the configuration does not
// contain it.
func (v *View) VersionState(version fleet.ModelVersion) (VersionState, bool) {
	state, found := v.versionStates[version]
	return state, found
}

// Directives returns the directives for one run of an engine.
func (v *View) Directives(run fleet.EngineRun) []Directive { return v.directives[run] }

// AllowsClass reports whether the tenant may use a class.
func (t Tenant) AllowsClass(name fleet.ClassName) bool { return slices.Contains(t.Classes, name) }

// AllowsModel reports whether the tenant may use a model.
func (t Tenant) AllowsModel(name fleet.ModelName) bool {
	return len(t.Models) == 0 || slices.Contains(t.Models, name)
}

// DefaultClass returns the class of requests that specify none.
func (t Tenant) DefaultClass() fleet.ClassName { return t.Classes[0] }
