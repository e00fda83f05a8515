package fleet

import "time"

// Pause announces that a backend server is about to take no requests for a
// moment, because it loads weights.
type Pause struct {
	// Addr is the backend server's address.
	Addr    string         `cbor:"1,keyasint"`
	Model   Model          `cbor:"2,keyasint"`
	Version WeightsVersion `cbor:"3,keyasint"`
	// Number orders the announcements about one server; later ones are higher.
	Number uint64 `cbor:"4,keyasint"`
	// In is how long after the announcement the server takes no more requests.
	In time.Duration `cbor:"5,keyasint"`
	// Over says that the version is loaded and the server takes requests.
	Over bool `cbor:"6,keyasint,omitempty"`
}
