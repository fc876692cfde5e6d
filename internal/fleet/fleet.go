// Package fleet holds the identifiers that every part of the system shares:
// tenants, models, engines, routers and requests. It has no behaviour beyond
// validation and formatting.
package fleet

import "strconv"

// TenantName names a tenant, the unit of isolation and of fair sharing.
type TenantName string

// ModelName names a base model as callers ask for it.
type ModelName string

// AdapterName names a fine-tuned adapter on a base model; empty means none.
type AdapterName string

// VersionName names one immutable set of weights of a model or adapter.
type VersionName string

// SoftwareVersion names a version of a worker's software. It says nothing of weights.
type SoftwareVersion string

// ClassName names a priority class.
type ClassName string

// PoolName names a set of engines that serve the same models.
type PoolName string

// EngineID names a back end for as long as its machine slot exists. A restart
// keeps the identifier and changes the Incarnation.
type EngineID string

// NodeID names one run of a router or agent process. It is never reused.
type NodeID string

// RegionName names a group of zones that can lose contact with other groups.
type RegionName string

// ZoneName names a failure domain inside a region.
type ZoneName string

// Address is a "host:port" pair with a numeric host.
type Address string

// Incarnation counts the runs of an engine or router. A higher number
// supersedes every lower one for ever.
type Incarnation uint64

// Revision orders accepted configurations. Zero means none known. A node never
// replaces a revision by a lower one.
type Revision uint64

// FencingToken orders the holders of a lease. An engine rejects an order whose
// token is lower than the highest it has seen.
type FencingToken uint64

// RequestID identifies one caller's request across all processes and logs.
type RequestID string

// Attempt numbers the dispatches of one request, starting at 1. Answers for any
// attempt but the current one are dropped.
type Attempt uint32

// StreamID identifies one attempt at an engine.
type StreamID string

// NewStreamID returns the stream identifier of one attempt of a request.
func NewStreamID(request RequestID, attempt Attempt) StreamID {
	return StreamID(string(request) + "." + strconv.FormatUint(uint64(attempt), 10))
}

// BlockHash is the chained hash of a prompt prefix that ends on a block
// boundary. It covers the cache scope and every earlier block, so that equal
// hashes mean equal prefixes in the same scope.
type BlockHash uint64

// ModelVersion names exactly the weights that compute a request.
type ModelVersion struct {
	Model   ModelName
	Adapter AdapterName
	Version VersionName
}

// CacheScope is the domain inside which cached blocks may be shared. Blocks of
// different scopes never match, because the scope is hashed into every block.
type CacheScope struct {
	Tenant       TenantName
	ModelVersion ModelVersion
}

// EngineRun names one run of one engine: everything cached by it dies with it.
type EngineRun struct {
	Engine      EngineID
	Incarnation Incarnation
}
