// Package emulator replays a workload trace against engine models on a virtual
// clock. It runs the product's own decisions (placement, attempts, retry budget,
// choice of router) and lets rival policies take the routers' place, so that
// all are measured on the same trace, network and engines.
//
// # What is emulated
//
// One agent stands in each zone and carries the requests of that zone with
// attempt.Machine. It asks a router by the rank of the prompt's first blocks.
// Messages take the latencies of the fleet. Routers poll the status and the
// cache events of each engine as the router process does; events come late and
// some are lost, load lags, and after a loss the whole cache is fetched.
//
// # Simplifications
//
// Streams have no text: an agent sees the first token and the end. A stream
// that goes on at another engine computes its whole output again there.
// Connections are open already, so that a dispatch takes one way. Messages
// between processes are neither lost nor reordered. Routers don't fail.
package emulator
