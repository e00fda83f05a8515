package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
)

// `explain` left out crashes of busy servers: their log lines did not name the part that
// was quarantined.
func TestCrashLogNamesThePartsOfManyWaitingRequests(t *testing.T) {
	var waiting []fleet.Suspect
	for request := range 16 {
		for position, id := range []string{"system", fmt.Sprintf("team-%d", request), fmt.Sprintf("document-%d", request)} {
			waiting = append(waiting, fleet.Suspect{Part: fleet.Trait{Model: "llm", ID: id}, Request: uint32(request), Position: uint8(position)})
		}
	}
	parts, _ := traitIDs(suspectTraits(waiting))
	require.Contains(t, parts, "document-15")
}
