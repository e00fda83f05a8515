// Package fleet holds the data types of a deployment: the configuration, the
// state that backend servers publish, and a lookup table from requests to
// routes and teams. It does no I/O.
package fleet
