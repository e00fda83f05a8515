package httpcall

import "sync"

// maxKnownFaults bounds the faults that are remembered.
const maxKnownFaults = 1024

// Faults reports answers over their bound, each kind and part of a server once. It is safe
// for concurrent use; a nil value reports nothing.
type Faults struct {
	report func(*TooLargeError)

	mu    sync.Mutex
	known map[TooLargeError]struct{}
}

// NewFaults returns a value that calls report for each new fault.
func NewFaults(report func(*TooLargeError)) *Faults {
	return &Faults{report: report, known: map[TooLargeError]struct{}{}}
}

func (f *Faults) note(fault *TooLargeError) *TooLargeError {
	if f != nil && f.isNew(*fault) {
		f.report(fault)
	}
	return fault
}

func (f *Faults) isNew(fault TooLargeError) bool {
	// The bound may change with the configuration.
	fault.Limit = 0
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.known[fault]; ok || len(f.known) >= maxKnownFaults {
		return false
	}
	f.known[fault] = struct{}{}
	return true
}
