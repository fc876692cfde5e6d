// Package lab holds the stand-ins, the emulator and the experiment tools. None
// of it is part of the product.
package lab
