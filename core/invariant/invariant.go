// Package invariant checks the product's safety promises while it runs.
// Violations are counted and reported; a test installs a Reporter that fails.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// ID numbers the safety promises. docs/PROOF.md has a row for each.
type ID int

const (
	// WholeWeights: no request is served from partial or mixed weights.
	WholeWeights ID = iota + 1
	// ColdStartLimit: a backend server gets no more work than its limit.
	ColdStartLimit
	// DataCentreOut: a data centre that is out starts no new work.
	DataCentreOut
	// WholeAnswer: each caller gets the whole answer to its own request.
	WholeAnswer
	// TrueRefusal: work refused as not-run never started and never will.
	TrueRefusal
	// AtMostOnce: a request that may not be repeated starts at most once.
	AtMostOnce
	// LeavingBackend: a leaving backend server starts no new work.
	LeavingBackend
	// GracefulStop: a planned stop cuts no request.
	GracefulStop
	// NoRevert: the configuration revision in force never falls.
	NoRevert

	promiseCount
)

var promiseNames = [promiseCount]string{
	"", "whole-weights", "cold-start-limit", "data-centre-out", "whole-answer",
	"true-refusal", "at-most-once", "leaving-backend", "graceful-stop", "no-revert",
}

// String returns the kebab-case name of p.
func (p ID) String() string {
	if p <= 0 || p >= promiseCount {
		return "promise"
	}
	return promiseNames[p]
}

// Reporter receives each violation. It must be safe for concurrent use.
type Reporter func(promise ID, detail string)

var (
	violations [promiseCount]atomic.Uint64

	reporterMu sync.RWMutex
	reporter   Reporter
)

// SetReporter replaces the process-wide reporter and returns the old one.
func SetReporter(next Reporter) Reporter {
	reporterMu.Lock()
	defer reporterMu.Unlock()
	previous := reporter
	reporter = next
	return previous
}

// Check counts and reports a violation of promise when holds is false. It
// returns holds so that a caller can refuse to go on.
func Check(promise ID, holds bool, format string, args ...any) bool {
	if holds {
		return true
	}
	violations[promise].Add(1)
	reporterMu.RLock()
	report := reporter
	reporterMu.RUnlock()
	if report != nil {
		report(promise, fmt.Sprintf(format, args...))
	}
	return false
}

// Violations returns the number of violations of promise since start.
func Violations(promise ID) uint64 { return violations[promise].Load() }

// TotalViolations returns the number of violations of all promises since start.
func TotalViolations() uint64 {
	var sum uint64
	for p := range violations {
		sum += violations[p].Load()
	}
	return sum
}

// All returns every promise in order.
func All() []ID {
	all := make([]ID, 0, promiseCount-1)
	for p := ID(1); p < promiseCount; p++ {
		all = append(all, p)
	}
	return all
}
