// Package config defines the operators' configuration: its schema, its validation, its revisions
// and their distribution among the nodes.
package config

import (
	"time"

	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Document is a complete configuration. Operators write it as YAML. The comments of the YAML fields
// in this file are the text of the configuration reference.
type Document struct {
	// Revision is set at commit. It has no YAML form.
	Revision fleet.Revision `yaml:"-" json:"revision"`
	// Tenants lists who may call, and on what terms.
	Tenants []Tenant `yaml:"tenants" json:"tenants" validate:"required,min=1,unique=Name,dive"`
	// Classes lists the priority classes, in any order.
	Classes []Class `yaml:"classes" json:"classes" validate:"required,min=1,unique=Name,dive"`
	// Models lists the models that callers may ask for.
	Models []Model `yaml:"models" json:"models" validate:"required,min=1,unique=Name,dive"`
	// Pools lists the sets of engines.
	Pools []Pool `yaml:"pools" json:"pools" validate:"required,min=1,unique=Name,dive"`
	// Directives lists the operators' directives for individual engines. They are set by statements
	// and have no YAML form.
	Directives []Directive `yaml:"-" json:"directives,omitempty" validate:"dive"`
}

// Tenant is a customer of the fleet, identified by its API keys.
type Tenant struct {
	// Name identifies the tenant in commands, logs and metrics.
	Name fleet.TenantName `yaml:"name" json:"name" validate:"required,name"`
	// KeyHashes lists the accepted API keys, each as the lower-case hexadecimal
	// SHA-256 of the key.
	KeyHashes []string `yaml:"key_hashes" json:"key_hashes" validate:"required,min=1,dive,len=64,hexadecimal,lowercase"`
	// Weight is the tenant's share of a class relative to other tenants.
	Weight float64 `yaml:"weight" json:"weight" validate:"gt=0,lte=1000"`
	// Classes lists the classes that the tenant may use; the first is the default.
	Classes []fleet.ClassName `yaml:"classes" json:"classes" validate:"required,min=1"`
	// Models lists the models that the tenant may use; empty means all.
	Models []fleet.ModelName `yaml:"models,omitempty" json:"models,omitempty"`
	// MaxConcurrent bounds the tenant's unfinished requests at one agent.
	MaxConcurrent int `yaml:"max_concurrent" json:"max_concurrent" validate:"gte=1"`
	// MaxWaiting bounds the tenant's waiting requests at one router.
	MaxWaiting int `yaml:"max_waiting" json:"max_waiting" validate:"gte=1"`
}

// Class is a priority class.
type Class struct {
	// Name identifies the class.
	Name fleet.ClassName `yaml:"name" json:"name" validate:"required,name"`
	// Rank orders the classes: a lower rank is served first.
	Rank int `yaml:"rank" json:"rank" validate:"gte=0,lte=100"`
	// MaxWait bounds the time a request waits for an engine before it is refused.
	MaxWait Duration `yaml:"max_wait" json:"max_wait" validate:"gt=0"`
	// MinShare is the share of dispatches that the class gets even while a
	// class of lower rank has work: the starvation bound. 0 means none.
	MinShare float64 `yaml:"min_share" json:"min_share" validate:"gte=0,lt=1"`
}

// VersionState is the lifecycle state of a version.
type VersionState string

// Lifecycle states of a version. Exactly one version of a model or adapter is serving.
const (
	VersionLoading VersionState = "loading"
	VersionServing VersionState = "serving"
	VersionRetired VersionState = "retired"
)

// Version is an immutable set of model or adapter weights.
type Version struct {
	// Name identifies the version within its model or adapter.
	Name fleet.VersionName `yaml:"name" json:"name" validate:"required,name"`
	// State is loading, serving or retired.
	State VersionState `yaml:"state" json:"state" validate:"oneof=loading serving retired"`
}

// Adapter is a fine-tuned variant of a model.
type Adapter struct {
	// Name identifies the adapter within its model.
	Name fleet.AdapterName `yaml:"name" json:"name" validate:"required,name"`
	// Versions lists the adapter's versions.
	Versions []Version `yaml:"versions" json:"versions" validate:"required,min=1,unique=Name,dive"`
}

// Model is a base model. Callers ask for "model" or "model:adapter".
type Model struct {
	// Name is what callers send as "model".
	Name fleet.ModelName `yaml:"name" json:"name" validate:"required,name"`
	// Pool is the pool whose engines serve the model.
	Pool fleet.PoolName `yaml:"pool" json:"pool" validate:"required"`
	// Versions lists the versions of the base weights.
	Versions []Version `yaml:"versions" json:"versions" validate:"required,min=1,unique=Name,dive"`
	// Adapters lists the model's adapters.
	Adapters []Adapter `yaml:"adapters,omitempty" json:"adapters,omitempty" validate:"unique=Name,dive"`
	// MaxPromptTokens bounds a prompt.
	MaxPromptTokens int `yaml:"max_prompt_tokens" json:"max_prompt_tokens" validate:"gte=1"`
	// MaxOutputTokens bounds an answer, and is the default for max_tokens.
	MaxOutputTokens int `yaml:"max_output_tokens" json:"max_output_tokens" validate:"gte=1"`
	// BlockTokens is the engines' cache block size for this model.
	BlockTokens int `yaml:"block_tokens" json:"block_tokens" validate:"gte=1,lte=4096"`
}

// Pool is a set of engines that serve the same models. The list of machines assigns engines to
// pools.
type Pool struct {
	// Name identifies the pool.
	Name fleet.PoolName `yaml:"name" json:"name" validate:"required,name"`
	// MaxStreams bounds the streams that routers place on one engine at once.
	MaxStreams int `yaml:"max_streams" json:"max_streams" validate:"gte=1"`
	// MaxLoads bounds the engines that load weights at the same time.
	MaxLoads int `yaml:"max_loads" json:"max_loads" validate:"gte=1"`
}

// DirectiveKind is the kind of a directive.
type DirectiveKind string

// Kinds of directives.
const (
	DirectiveDrain  DirectiveKind = "drain"
	DirectiveRetire DirectiveKind = "retire"
	DirectiveRole   DirectiveKind = "role"
)

// Directive is an operator's order for one run of an engine. It ends with that run: a later
// incarnation starts without it.
type Directive struct {
	// Engine and Incarnation identify the run.
	Engine      fleet.EngineID    `json:"engine" validate:"required"`
	Incarnation fleet.Incarnation `json:"incarnation"`
	// Kind is drain, retire or role. A run has at most one directive of each kind.
	Kind DirectiveKind `json:"kind" validate:"oneof=drain retire role"`
	// Role is the role to assign, for the kind role only.
	Role string `json:"role,omitempty" validate:"required_if=Kind role"`
}

// Duration is a time.Duration written as "1.5s" in YAML and JSON.
type Duration time.Duration

// String formats the duration as in YAML.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}
