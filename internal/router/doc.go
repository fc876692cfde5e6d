// Package router implements the router process: it serves agents, peers and operators over twirp,
// tracks the engines it owns, and drains its requests on a graceful stop.
package router
