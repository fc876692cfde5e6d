// Package fleet defines the identifiers that all parts of the system share: tenants, models,
// engines, routers and requests. It contains only types, formatting and clocks.
package fleet

import "strconv"

// TenantName identifies a tenant, the unit of isolation and fair sharing.
type TenantName string

// ModelName identifies a base model, as in callers' requests.
type ModelName string

// AdapterName identifies a fine-tuned adapter of a base model; empty means none.
type AdapterName string

// VersionName identifies an immutable set of weights of a model or adapter.
type VersionName string

// SoftwareVersion identifies a version of a worker's software, independent of its model versions.
type SoftwareVersion string

// ClassName identifies a priority class.
type ClassName string

// PoolName identifies a set of engines that serve the same models.
type PoolName string

// EngineID identifies an engine for the lifetime of its machine slot. A restart keeps the EngineID
// and changes the Incarnation.
type EngineID string

// NodeID identifies one run of a router or agent process. It is never reused.
type NodeID string

// RegionName identifies a group of zones that can become partitioned from other groups.
type RegionName string

// ZoneName identifies a failure domain inside a region.
type ZoneName string

// Address is a "host:port" pair with a numeric host.
type Address string

// Incarnation counts the runs of an engine or router. A higher number permanently supersedes all
// lower ones.
type Incarnation uint64

// Revision orders accepted configurations and the writes of a store; 0 means none. Its upper bits
// hold the store's epoch, see StoreEpoch.Revision; they are 0 where there is no store that can be
// restored. Within an epoch a node never replaces a revision with a lower one.
type Revision uint64

// FencingToken orders the holders of a lease. An engine rejects an order whose token is lower than
// the highest that it has seen.
type FencingToken uint64

// RequestID identifies one caller's request across all processes and logs.
type RequestID string

// Attempt numbers the dispatches of one request, starting at 1. Responses for other attempts than
// the current one are dropped.
type Attempt uint32

// StreamID identifies the stream of one attempt at an engine.
type StreamID string

// NewStreamID returns the stream identifier of an attempt of a request.
func NewStreamID(request RequestID, attempt Attempt) StreamID {
	return StreamID(string(request) + "." + strconv.FormatUint(uint64(attempt), 10))
}

// BlockHash is the chained hash of a prompt prefix that ends at a block boundary. It covers the
// cache scope and all earlier blocks: equal hashes mean equal prefixes in the same scope.
type BlockHash uint64

// ModelVersion identifies the exact weights that compute a request. Adapter is empty for a base
// model.
type ModelVersion struct {
	Model   ModelName
	Adapter AdapterName
	Version VersionName
}

// CacheScope is the domain inside which cached blocks may be shared. The scope is hashed into every
// block, so that blocks of different scopes never match.
type CacheScope struct {
	Tenant       TenantName
	ModelVersion ModelVersion
}

// EngineRun identifies one run of an engine. The engine's cache is lost when the run ends.
type EngineRun struct {
	Engine      EngineID
	Incarnation Incarnation
}
