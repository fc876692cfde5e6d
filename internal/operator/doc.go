// Package operator implements the operators' query and command language:
// statements are parsed, planned and run. Queries read one router's view;
// commands become pure mutations of the configuration, which the table service
// commits under a revision.
package operator
