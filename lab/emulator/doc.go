// Package emulator replays a workload trace against engine models on a virtual clock. It compares
// the product's placement, retries and router selection with baseline policies on the same trace,
// network and engines.
//
// # What is emulated
//
// Each zone has one agent, which drives the requests of that zone with attempt.Machine and selects
// a router by the prompt's leading blocks. Messages take the fleet's network latencies. Routers poll
// the status and the cache events of each engine as the router process does: events are delayed and
// some are lost, reported load lags, and a gap in the events is repaired with a cache snapshot.
//
// # Simplifications
//
// Streams carry no text: an agent sees only the first token and the end of a stream. A stream that
// continues on another engine generates its whole output again there. Connections are already open,
// so a dispatch takes one network trip. Messages between processes are neither lost nor reordered.
// Routers don't fail.
package emulator
