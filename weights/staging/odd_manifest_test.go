package staging

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
)

// oddOrigin has no usable manifest until a time.
type oddOrigin struct {
	Origin
	usableAt time.Time
	failure  func() ([][32]byte, error)
	calls    int
}

func (o *oddOrigin) Manifest(ctx context.Context, model fleet.Model, version fleet.WeightsVersion) ([][32]byte, error) {
	o.calls++
	if time.Now().Before(o.usableAt) {
		return o.failure()
	}
	return o.Origin.Manifest(ctx, model, version)
}

// Guards against agents that ask the origin several times a second, and log as often, for a
// version that it does not have.
func TestOriginIsAskedLessOftenForAVersionThatItDoesNotHave(t *testing.T) {
	const unusableFor = 40 * time.Second
	for name, c := range map[string]struct {
		failure  func() ([][32]byte, error)
		maxCalls int
	}{
		"not found": {func() ([][32]byte, error) {
			return nil, core.NewRefusal(core.CodeUnknownEntity, 0, "manifest not found")
		}, 30},
		"superseded":   {func() ([][32]byte, error) { return nil, core.NewRefusal(core.CodeSuperseded, 0, "an older version") }, 30},
		"wrong length": {func() ([][32]byte, error) { return make([][32]byte, 3), nil }, 30},
		"unreachable":  {func() ([][32]byte, error) { return nil, errors.New("connection refused") }, 300},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newWeightsFleet(t, 1, 1, 0)
				logger, hook := logtest.NewNullLogger()
				manager := f.managers[f.agents[0].ID]
				manager.config.Log = logrus.NewEntry(logger)
				origin := &oddOrigin{Origin: f.origin, usableAt: time.Now().Add(unusableFor), failure: c.failure}
				f.nameVersion(2)
				f.targets[0].Origin = origin
				f.run(unusableFor+20*time.Second, nil)
				require.LessOrEqual(t, origin.calls, c.maxCalls)
				require.Less(t, f.lastLoad(2), unusableFor+15*time.Second, "the version is loaded once the origin has it")
				warnings := 0
				for _, entry := range hook.AllEntries() {
					if entry.Level == logrus.WarnLevel {
						warnings++
					}
				}
				require.Equal(t, 1, warnings, "the same failure is logged once")
			})
		})
	}
}
