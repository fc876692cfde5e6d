// Package integration tests the product as separate processes, started by the commands of the
// operations guide.
package integration
