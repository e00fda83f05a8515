// Package staging brings a version's pieces to one engine and has it loaded.
// Each piece leaves the origin about once and crosses into each region about
// once: within a region the pieces go round the agents, each of which brings its
// own in, and the others take them from there while more still arrive. Every piece is
// verified before it is staged or handed on, and again before the load. Plan
// decides without clock or I/O; Manager carries it out.
package staging
