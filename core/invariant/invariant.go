// Package invariant checks the safety invariants of the system at run time.
// Violations are counted and reported; tests install a Reporter that fails the
// test.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// ID identifies a safety invariant. docs/PROOF.md has a row for each.
type ID int

const (
	// WholeWeights: no request is served from partial or mixed weights.
	WholeWeights ID = iota + 1
	// ColdStartLimit: a backend server gets no more requests than its limit.
	ColdStartLimit
	// DataCentreOut: a data centre that is out of service starts no new work.
	DataCentreOut
	// WholeAnswer: each caller gets the complete answer to its own request.
	WholeAnswer
	// TrueRefusal: a request refused as not-run has not started and never
	// starts.
	TrueRefusal
	// AtMostOnce: a request that is not idempotent starts at most once.
	AtMostOnce
	// LeavingBackend: a leaving backend server starts no new work.
	LeavingBackend
	// GracefulStop: a planned stop interrupts no request.
	GracefulStop
	// NoRevert: the configuration revision of a daemon never decreases.
	NoRevert

	invariantCount
)

var invariantNames = [invariantCount]string{
	"", "whole-weights", "cold-start-limit", "data-centre-out", "whole-answer",
	"true-refusal", "at-most-once", "leaving-backend", "graceful-stop", "no-revert",
}

// String returns the kebab-case name of id.
func (id ID) String() string {
	if id <= 0 || id >= invariantCount {
		return "promise"
	}
	return invariantNames[id]
}

// Reporter receives each violation. It must be safe for concurrent use.
type Reporter func(id ID, detail string)

var (
	violationCounts [invariantCount]atomic.Uint64

	reporterMu sync.RWMutex
	reporter   Reporter
)

// SetReporter replaces the process-wide reporter and returns the previous
// reporter, or nil.
func SetReporter(next Reporter) Reporter {
	reporterMu.Lock()
	defer reporterMu.Unlock()
	previous := reporter
	reporter = next
	return previous
}

// Check counts and reports a violation of the invariant when holds is false.
// It returns holds, so that the caller can stop the operation.
func Check(id ID, holds bool, format string, args ...any) bool {
	if holds {
		return true
	}
	violationCounts[id].Add(1)
	reporterMu.RLock()
	report := reporter
	reporterMu.RUnlock()
	if report != nil {
		report(id, fmt.Sprintf(format, args...))
	}
	return false
}

// Violations returns the number of violations of an invariant since the start
// of the process.
func Violations(id ID) uint64 { return violationCounts[id].Load() }

// TotalViolations returns the number of violations of all invariants since the
// start of the process.
func TotalViolations() uint64 {
	var sum uint64
	for id := range violationCounts {
		sum += violationCounts[id].Load()
	}
	return sum
}

// All returns the IDs of all invariants in order.
func All() []ID {
	all := make([]ID, 0, invariantCount-1)
	for id := ID(1); id < invariantCount; id++ {
		all = append(all, id)
	}
	return all
}
