// Package spread distributes each accepted revision of the configuration to all
// daemons and tracks how up to date a daemon's configuration is.
//
// A few entries of each data centre, the relays, poll the table service for the
// head revision. Other entries pull from relays, and agents pull from entries of
// their data centre. A peer holds a pull until it has a newer revision (long
// polling), which bounds the fan-out of a push. Pulls repeat endlessly, so that
// daemons also converge after lost messages (anti-entropy).
//
// State is a state machine without I/O; Manager carries out its actions.
package spread
