// Package spread brings each accepted revision of the configuration to every
// daemon and says how fresh a daemon's knowledge is.
//
// A few entries of each data centre, the relays, ask the table service for the
// head revision. Other entries pull from relays, and agents from entries of
// their data centre. A pull is held back until there is news, which makes it a
// push with bounded fan-out; its repetition is the anti-entropy.
//
// State is the pure state machine; Manager carries out its actions.
package spread
