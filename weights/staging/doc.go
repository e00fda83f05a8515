// Package staging brings a version's pieces to one engine and has it loaded.
// Each piece leaves the origin about once and crosses into each region about
// once: within a region rendezvous hashing names the agent that brings a piece
// in, and the others take it from there while it still arrives. Every piece is
// verified before it is staged or handed on, and again before the load. Plan
// decides without clock or I/O; Manager carries it out.
package staging
