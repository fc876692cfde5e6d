// Package operator implements the operators' query and command language. It parses, plans and runs
// statements: queries read the state of one router, and commands become pure mutations of the
// configuration, which the table service commits under a new revision.
package operator
