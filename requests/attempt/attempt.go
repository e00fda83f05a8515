// Package attempt generates and parses attempt ids. An id consists of the entry
// process that generated it and a sequence number that increases within that
// process, so that an agent can block all attempts of a process up to a sequence
// number in constant space.
package attempt

import (
	"strconv"
	"strings"
	"sync/atomic"

	"currantusher.dev/core"
)

const separator = "."

const sequenceBase = 16

// ID is a parsed attempt id.
type ID struct {
	// Process identifies one entry process.
	Process string
	// Sequence increases with each attempt of the process, starting at 1.
	Sequence uint64
}

// String returns the id in the format that Parse accepts.
func (id ID) String() string {
	return id.Process + separator + strconv.FormatUint(id.Sequence, sequenceBase)
}

// Parse parses an id. The error carries CodeInvalidField.
func Parse(text string) (ID, error) {
	separatorAt := strings.LastIndex(text, separator)
	if separatorAt <= 0 {
		return ID{}, invalidIDError(text)
	}
	sequence, err := strconv.ParseUint(text[separatorAt+1:], sequenceBase, 64)
	if err != nil || sequence == 0 {
		return ID{}, invalidIDError(text)
	}
	return ID{Process: text[:separatorAt], Sequence: sequence}, nil
}

func invalidIDError(text string) error {
	return core.NewRefusal(core.CodeInvalidField, 0, "invalid attempt id %q: want a process name, a dot and a positive hexadecimal sequence number", text)
}

// Generator generates the ids of one entry process. It is safe for concurrent
// use.
type Generator struct {
	process string
	last    atomic.Uint64
}

// NewGenerator returns a Generator for the process of entry with the given
// incarnation.
func NewGenerator(entry core.InstanceID, incarnation core.Incarnation) *Generator {
	return &Generator{process: string(entry) + separator + strconv.FormatUint(uint64(incarnation), sequenceBase)}
}

// Next returns a new id.
func (g *Generator) Next() string {
	return ID{Process: g.process, Sequence: g.last.Add(1)}.String()
}
