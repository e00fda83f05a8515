// Package quarantine finds the prompt parts that crash engines and keeps requests with
// them away from all engines.
//
// An engine that crashes ends all of its requests. Those that were waiting for the
// begin of their answers are suspects, and so is each shared part of their prompts. A
// part with which an answer has begun lately is sound. A part that remains suspect
// over several crashes, and that explains more of them than any other part, is
// quarantined: requests with it are refused until the quarantine ends. While the
// evidence fits several parts alike, only requests with all of them are refused, so that
// answers with the sound ones can still begin.
//
// Entries exchange crashes, begun answers and quarantines, so that crashes of which each
// entry has seen one count together. Everything that a Set keeps is bounded and
// expires. The package has no clock and does no I/O, apart from the dial function of a
// Confirmer.
package quarantine
