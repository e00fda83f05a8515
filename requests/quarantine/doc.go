// Package quarantine finds what crashes backend servers, parts of prompts and whole requests,
// and keeps requests with it away from all servers.
//
// A server that crashes ends all of its requests. Those that were waiting for the begin of
// their answers are suspects with their traits: each shared part of their prompts, and the
// request as a whole, which its caller may repeat. A trait with which an answer has begun
// lately is sound. A trait that remains suspect over several crashes, and that explains more
// of them than any other one, is quarantined: requests with it are refused until the
// quarantine ends. While the evidence fits several parts alike, only requests with all of them
// are refused, so that answers with the sound ones can still begin. While it fits several
// whole requests alike, none of them is refused for two more crashes.
//
// Entries exchange crashes, begun answers and quarantines, so that crashes of which each
// entry has seen one count together. Everything that a Set keeps is bounded and
// expires. The package has no clock and does no I/O, apart from the dial function of a
// Confirmer.
package quarantine
