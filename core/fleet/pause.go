package fleet

import "time"

// PauseNotice announces that a backend server will accept no requests for a
// short time while it loads weights.
type PauseNotice struct {
	// Addr is the backend server's address.
	Addr    string         `cbor:"1,keyasint"`
	Model   Model          `cbor:"2,keyasint"`
	Version WeightsVersion `cbor:"3,keyasint"`
	// Sequence orders the notices about one backend server; a later notice has
	// a higher number.
	Sequence uint64 `cbor:"4,keyasint"`
	// StartsIn is the time from the notice to the start of the pause.
	StartsIn time.Duration `cbor:"5,keyasint"`
	// Ended reports that the version is loaded and the backend server accepts
	// requests again.
	Ended bool `cbor:"6,keyasint,omitempty"`
	// StartedAtMillis is the start of the process that has loaded the version, in Unix
	// milliseconds, if Ended is set; 0 if it is unknown.
	StartedAtMillis int64 `cbor:"7,keyasint,omitempty"`
}
