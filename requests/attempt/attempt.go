// Package attempt makes and reads attempt ids. An id names the entry process
// that made it and a sequence number that grows within that process, so that
// an agent can bar all attempts of a process up to a number in constant space.
package attempt

import (
	"strconv"
	"strings"
	"sync/atomic"

	"currantusher.dev/core"
)

const separator = "."

const base = 16

// ID is a parsed attempt id.
type ID struct {
	// Process names one entry process.
	Process string
	// Sequence grows with each attempt of the process, starting at 1.
	Sequence uint64
}

// String returns the form that Parse reads.
func (id ID) String() string {
	return id.Process + separator + strconv.FormatUint(id.Sequence, base)
}

// Parse reads an id. The error carries CodeInvalidField.
func Parse(text string) (ID, error) {
	cut := strings.LastIndex(text, separator)
	if cut <= 0 {
		return ID{}, invalid(text)
	}
	sequence, err := strconv.ParseUint(text[cut+1:], base, 64)
	if err != nil || sequence == 0 {
		return ID{}, invalid(text)
	}
	return ID{Process: text[:cut], Sequence: sequence}, nil
}

func invalid(text string) error {
	return core.NewRefusal(core.CodeInvalidField, 0, "attempt id %q: want process, dot and hexadecimal sequence", text)
}

// Generator makes the ids of one entry process. It is safe for concurrent use.
type Generator struct {
	process string
	last    atomic.Uint64
}

// NewGenerator returns the source of the entry process with this incarnation.
func NewGenerator(entry core.InstanceID, incarnation core.Incarnation) *Generator {
	return &Generator{process: string(entry) + separator + strconv.FormatUint(uint64(incarnation), base)}
}

// Next returns a new id.
func (s *Generator) Next() string {
	return ID{Process: s.process, Sequence: s.last.Add(1)}.String()
}
