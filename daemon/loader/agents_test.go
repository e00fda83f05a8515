package loader

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"currantusher.dev/daemon/roster"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/weights/staging"
)

// lateReader has rows of agents from some time on.
type lateReader struct {
	availableAt time.Time
	agents      []staging.Agent
}

func (r *lateReader) ReadAll(_ context.Context, table string) (rowstore.Page, error) {
	if time.Now().Before(r.availableAt) {
		return rowstore.Page{}, errors.New("no relay replies")
	}
	var page rowstore.Page
	if table == roster.AgentsTable {
		for _, a := range r.agents {
			value, err := cbor.Marshal(a)
			if err != nil {
				return rowstore.Page{}, err
			}
			page.Rows = append(page.Rows, rowstore.Row{Table: table, Key: string(a.ID), Value: value})
		}
	}
	return page, nil
}

func newTestList(availableIn time.Duration) *agentList {
	log := logrus.New()
	log.SetOutput(io.Discard)
	reader := &lateReader{availableAt: time.Now().Add(availableIn), agents: []staging.Agent{{ID: "a-1", Addr: "10.0.0.1:7700"}, {ID: "a-2", Addr: "10.0.0.2:7700"}}}
	rows := roster.New[staging.Agent](nil, roster.AgentsTable, logrus.NewEntry(log))
	rows.ReadFrom(reader)
	return &agentList{roster: rows, reader: reader, log: logrus.NewEntry(log)}
}

// After a restart of the whole fleet the rows cannot be read for some seconds. Each
// agent then took itself for the only one and fetched all pieces from the origin.
func TestRestartedAgentWaitsForTheFirstList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := newTestList(4 * time.Second)
		require.Len(t, list.get(t.Context()), 2)
		require.Less(t, time.Since(list.readAt), time.Second)
	})
}

func TestAgentThatGetsNoListFetchesOnItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		require.Empty(t, newTestList(time.Hour).get(t.Context()))
		require.Less(t, time.Since(started), firstReadTimeout+time.Second)
	})
}

func TestLastListIsUsedDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := newTestList(0)
		require.Len(t, list.get(t.Context()), 2)
		list.reader.(*lateReader).availableAt = time.Now().Add(time.Hour)
		time.Sleep(2 * agentsTTL)
		started := time.Now()
		require.Len(t, list.get(t.Context()), 2)
		require.Zero(t, time.Since(started))
	})
}
