// Package integration tests the product as separate processes.
package integration
