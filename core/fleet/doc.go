// Package fleet holds the plain types of a deployment: what operators
// configure, what backend servers say of themselves, and a compiled form that
// answers which route and which team a request belongs to. It does no I/O.
package fleet
