package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/nodefile"
)

// Guards against a line in the log at each read of a file that stays invalid.
func TestInvalidSettingsFileIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reload atomic.Pointer[func() (nodefile.Node, error)]
		logger, hook := logtest.NewNullLogger()
		g := &Gateway{config: Config{Reload: func() (nodefile.Node, error) { return (*reload.Load())() }}, log: logrus.NewEntry(logger)}
		g.node.Store(&nodefile.Node{})
		failure := func(text string) func() (nodefile.Node, error) {
			return func() (nodefile.Node, error) { return nodefile.Node{}, errors.New(text) }
		}
		changed := nodefile.Node{Bounds: nodefile.Bounds{Stop: time.Second}}
		reload.Store(new(failure("a")))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = g.watchSettingsFile(ctx)
		}()
		for i, c := range []struct {
			next  func() (nodefile.Node, error)
			lines int
		}{
			{failure("a"), 1},
			{failure("b"), 2},
			{func() (nodefile.Node, error) { return changed, nil }, 3},
			{failure("b"), 4},
		} {
			reload.Store(&c.next)
			time.Sleep(10*settingsPollPeriod + settingsPollPeriod/2)
			synctest.Wait()
			require.Len(t, hook.AllEntries(), c.lines, i)
		}
		require.Equal(t, changed.Bounds, g.node.Load().Bounds, "the last valid settings hold")
		cancel()
		<-done
	})
}
