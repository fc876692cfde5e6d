// Package retrybudget limits the retries that a fleet of gateways sends to a service.
//
// The limit is one for the whole fleet: within any window, all gateways together may send a ratio of
// the service's requests as retries, and a slack in addition. Each gateway decides for itself.
//
// The package has no I/O and no clock: callers pass in the monotonic time, counted from the start of
// the process. Its types are not safe for concurrent use.
package retrybudget
