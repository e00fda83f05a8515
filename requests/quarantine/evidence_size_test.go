package quarantine

import (
	"fmt"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
)

// maxEvidenceBytes is half of what a message between entries may have.
const maxEvidenceBytes = 16 << 10

// Guards against evidence on long prompts that makes a message too long to be read.
func TestEvidenceOnLongPromptsFitsInAMessage(t *testing.T) {
	s := newTestSet()
	trait := func(name string) fleet.Trait {
		return fleet.Trait{Model: "daka510000", ID: fmt.Sprintf("sha256:%s%s", strings.Repeat("0", 32-len(name)), name)}
	}
	for crash := range 20 {
		seconds := float64(crash) / 10
		for request := range 16 {
			id := fmt.Sprintf("%d-%d", crash, request)
			traits := []fleet.Trait{whole(id)}
			for i := range 200 {
				traits = append(traits, trait(fmt.Sprintf("%d-%d", request, i)))
			}
			s.Crashed(at(seconds), lifetime(fmt.Sprintf("i-7f3a91c%d", crash)), at(seconds), suspects(id, traits))
		}
	}
	for i := range 100 {
		s.Started(at(2), []fleet.Trait{trait(fmt.Sprintf("15-%d", i))})
	}
	s.Decide(at(2.1), testSettle)
	requireBounds(t, s)
	for round := range 10 {
		message, err := cbor.Marshal(s.Evidence(at(2.1 + 0.3*float64(round))))
		require.NoError(t, err)
		t.Log(len(message))
		require.LessOrEqual(t, len(message), maxEvidenceBytes, round)
	}
}
