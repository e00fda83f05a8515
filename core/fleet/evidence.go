package fleet

import (
	"time"

	"currantusher.dev/core"
)

// Trait is what several requests may have in common: a part of their prompts, or
// everything, if a request is repeated.
type Trait struct {
	_ struct{} `cbor:",toarray"`
	// Model is the model that the prompts are for. It is empty for a whole request.
	Model Model
	// ID identifies the part among those of the model, or is the fingerprint of the
	// request.
	ID string
}

// IsRequest reports whether the trait is a whole request.
func (t Trait) IsRequest() bool { return t.Model == "" }

// CrashEvidence is what an entry tells the others about the traits of requests that
// crash backend servers. Ages are times before the message was sent.
type CrashEvidence struct {
	Crashes     []CrashReport `cbor:"1,keyasint,omitempty"`
	Starts      []TraitStart  `cbor:"2,keyasint,omitempty"`
	Quarantines []Quarantine  `cbor:"3,keyasint,omitempty"`
}

// IsEmpty reports whether there is nothing to tell.
func (e *CrashEvidence) IsEmpty() bool {
	return len(e.Crashes)+len(e.Starts)+len(e.Quarantines) == 0
}

// CrashReport describes the crash of one process of a backend server.
type CrashReport struct {
	_           struct{} `cbor:",toarray"`
	Server      core.InstanceID
	Incarnation core.Incarnation
	Age         time.Duration
	// Suspects are the traits of the requests that were waiting there for the begin of
	// their answers.
	Suspects []Suspect
}

// Suspect is a trait of a request that waited at a server when the server
// crashed.
type Suspect struct {
	_     struct{} `cbor:",toarray"`
	Trait Trait
	// Request is a hash of the request's ID.
	Request uint32
	// Position is the index of the part in the prompt, or 255 for a whole request.
	Position uint8
}

// TraitStart reports that an answer to a request with this trait has begun.
type TraitStart struct {
	_     struct{} `cbor:",toarray"`
	Trait Trait
	// Age is the time since the last such answer began.
	Age time.Duration
}

// Quarantine reports that requests with a trait are refused, or no longer.
type Quarantine struct {
	_     struct{} `cbor:",toarray"`
	Trait Trait
	// Generation counts how often the trait has been quarantined.
	Generation uint32
	// Age is the time since the decision to quarantine the trait.
	Age time.Duration
	// Crashes is the number of crashes that led to the decision.
	Crashes int
	// Released means that the trait proved not to be the cause.
	Released bool
	// With are the prompt parts that cannot be told apart from Trait as the cause. Only requests
	// with all of them are refused.
	With []Trait
}
