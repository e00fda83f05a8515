// Package staging fetches the pieces of a version of model weights, stages them
// at an engine and orders the engine to load the version. Each piece leaves the
// origin about once and enters each region about once: the pieces are assigned
// to the agents of a region in turn, each agent fetches its pieces into the
// region, and the region's other agents fetch them from there while more pieces
// arrive. A piece is verified before it is staged or sent to a peer, and again
// before the load. FetchPlan selects sources without a clock or I/O; Manager
// carries out the plan.
package staging
