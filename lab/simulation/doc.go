// Package simulation runs a whole fleet on a virtual clock: agents, routers,
// engines, the platform and operators, under faults drawn from a seed. One
// goroutine drives one run, so that equal seeds give equal histories. Package
// history checks what happened.
//
// # What is the product's own
//
// The decisions are the product's code: attempt.Machine and attempt.Budget at
// the agents; placement.Core, membership.Core, membership.Dissemination,
// config.Holder, config.Follower, config.Store, operator.Runner, lease.Election
// and rollout.Planner at the routers. Engines are enginemodel, the platform is
// platformmodel.
//
// # What stands in
//
// Processes, connections and timers are this package's. Messages are Go values:
// codecs and HTTP are left to the tests with real processes. A call to the
// platform takes no time; in its place reads may be stale, and commits may take
// effect late or without an answer.
package simulation
