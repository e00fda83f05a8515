package gateway

import (
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/requests/dispatch"
	"currantusher.dev/requests/placement"
)

func TestPlacementLogsWhatEachSourceSaysOfTheWeights(t *testing.T) {
	l := newListedGateway(t, "a")
	hook := logtest.NewLocal(l.log.Logger)
	l.observations.record(l.clock.Now(), l.lifetime(0), "m", 2, 0)
	l.pauses.Record(time.Now(), fleet.PauseNotice{Addr: l.servers[0].Addr, Model: "m", Version: 3, Ended: true})

	trace := callTrace{gateway: l.Gateway, call: &call{service: testService}, model: "m"}
	trace.Placed(1, placement.Candidate{ID: "s-0"}, 1, 0)
	data := hook.LastEntry().Data
	require.EqualValues(t, 0, data["listed_version"])
	require.EqualValues(t, 2, data["answered_version"])
	require.EqualValues(t, 3, data["announced_version"])

	trace.model = ""
	trace.Placed(1, placement.Candidate{ID: "s-0"}, 1, 0)
	require.NotContains(t, hook.LastEntry().Data, "listed_version")
}

func TestLogSaysWhyNoOtherServerIsAskedAndHowManyRetriesAreLeft(t *testing.T) {
	l := newListedGateway(t, "a")
	hook := logtest.NewLocal(l.log.Logger)
	placer := l.services.placer(core.PoolName(testService))
	placer.SetRetryBurst(3)
	placer.ReturnRetries(2)
	callTrace{gateway: l.Gateway, call: &call{service: testService}}.Stays("s-0", dispatch.StayNoServer, 4)
	data := hook.LastEntry().Data
	require.Equal(t, "no-server", data["because"])
	require.Equal(t, placer.Retries(), data["retries_left"])
	require.Equal(t, 4, data["among"])
}
