// Package router joins placement, membership, configuration and rollout into
// the router process: it answers agents, peers and operators over twirp,
// follows the engines that it owns, and stops without losing a request.
package router
