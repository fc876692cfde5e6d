// Package simulation runs a whole fleet on a virtual clock: agents, routers, engines, the platform
// and operators, with faults drawn from a seed. One goroutine drives one run, so equal seeds give
// equal histories. Package history checks the recorded history.
//
// # Product code
//
// All decisions are made by the product's own code: attempt.Machine and attempt.Budget at the
// agents; placement.Core, membership.Core, membership.Dissemination, config.Holder,
// config.Follower, config.Store, operator.Runner, lease.Election and rollout.Planner at the
// routers. Engines are modelled by enginemodel, the platform by platformmodel.
//
// # Simulated parts
//
// Processes, connections and timers are simulated. Messages are Go values; codecs and HTTP are left
// to tests with real processes. A platform call made by a router's store takes no time; instead,
// reads may be stale, and commits may take effect late or lose their answer.
package simulation
