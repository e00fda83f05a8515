package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/clock"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/notices"
	"currantusher.dev/requests/quarantine"
)

// `explain` left out crashes of busy servers: their log lines did not name the part that
// was quarantined.
func TestCrashLogNamesThePartsOfManyWaitingRequests(t *testing.T) {
	var waiting []fleet.Suspect
	for request := range 16 {
		for position, id := range []string{"system", fmt.Sprintf("team-%d", request), fmt.Sprintf("document-%d", request)} {
			waiting = append(waiting, fleet.Suspect{Trait: fleet.Trait{Model: "llm", ID: id}, Request: uint32(request), Position: uint8(position)})
		}
	}
	parts, _ := traitIDs(suspectTraits(waiting))
	require.Contains(t, parts, "document-15")
}

func TestErrorOfAnEngineDoesNotProveARequestSound(t *testing.T) {
	for name, c := range map[string]struct {
		model     fleet.Model
		isSuspect bool
	}{
		"engine":       {"llm", true},
		"plain server": {"", false},
	} {
		t.Run(name, func(t *testing.T) {
			g := &Gateway{clock: clock.New()}
			g.crashGuard = &crashGuard{gateway: g, set: quarantine.NewSet()}
			request := fleet.Trait{ID: "f"}
			observer{gateway: g, model: c.model, traits: []fleet.Trait{request}}.AnsweredOtherwise(notices.Lifetime{})
			now := g.clock.Now()
			isNew := g.crashGuard.set.Crashed(now, notices.Lifetime{Server: "s"}, now, []fleet.Suspect{{Trait: request, Request: 1}})
			require.Equal(t, c.isSuspect, isNew)
		})
	}
}
