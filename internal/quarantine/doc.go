// Package quarantine knows requests that crash workers. Each crash ends all that runs at
// the worker, so that no single crash tells which of its requests caused it. What is
// known by its fingerprint in all of several crashes, and never answered whole
// meanwhile, is kept from the workers.
//
// The package decides and has no I/O, goroutine or clock of its own: now is the time on
// the process's clock, which also counts while the machine is suspended.
package quarantine
