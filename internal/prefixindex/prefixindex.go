// Package prefixindex records which engine runs hold which cached blocks, as
// far as cache events tell. It is a guess: the engine alone decides a hit. The
// package has no I/O and no clock of its own.
package prefixindex

import (
	"github.com/tillerfall/tillerfall/internal/fleet"
)

// Slot is a small dense number that stands for one engine run in the index.
// A new incarnation gets a new slot, so that forgetting a dead run is one step.
type Slot uint16

// Match tells how many leading blocks of a prompt one engine run holds.
type Match struct {
	Run    fleet.EngineRun
	Blocks int
}
