package fleet

import "time"

// PauseNotice announces that a backend server is about to take no requests for a
// moment, because it loads weights.
type PauseNotice struct {
	// Addr is the backend server's address.
	Addr    string         `cbor:"1,keyasint"`
	Model   Model          `cbor:"2,keyasint"`
	Version WeightsVersion `cbor:"3,keyasint"`
	// Sequence orders the announcements about one server; later ones are higher.
	Sequence uint64 `cbor:"4,keyasint"`
	// StartsIn is how long after the announcement the server takes no more requests.
	StartsIn time.Duration `cbor:"5,keyasint"`
	// Ended says that the version is loaded and the server takes requests.
	Ended bool `cbor:"6,keyasint,omitempty"`
}
