// Package lab contains the stand-ins, the emulator, the simulation and the experiment tools. None
// of it is part of the product.
package lab
