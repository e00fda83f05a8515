package loader

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/daemon/roster"
	"currantusher.dev/platform/records"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/tables/watch"
	"currantusher.dev/weights/staging"
)

// agentsTTL is how long a read list of agents serves.
const agentsTTL = 5 * time.Second

// agentList reads which agents take part in bringing weights.
type agentList struct {
	roster *roster.Roster[staging.Agent]
	store  *rowstore.Client
	log    *logrus.Entry

	mu    sync.Mutex
	known []staging.Agent
	at    time.Time
}

// get returns the living agents, from the store or as last read there.
func (l *agentList) get(ctx context.Context) []staging.Agent {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.known) > 0 && time.Since(l.at) < agentsTTL {
		return l.known
	}
	agents, err := l.read(ctx)
	if err != nil {
		l.log.WithError(err).WithField("known", len(l.known)).Warn("Agents not read; the last known ones are used.")
		return l.known
	}
	l.known, l.at = agents, time.Now()
	return agents
}

func (l *agentList) read(ctx context.Context) ([]staging.Agent, error) {
	agents, err := l.roster.Read(ctx)
	if err != nil {
		return nil, err
	}
	page, err := l.store.ReadAll(ctx, watch.ServersTable)
	if err != nil {
		return nil, err
	}
	listed := map[string]bool{}
	for _, row := range page.Rows {
		// A row that names no server proves nothing of any engine.
		if server, err := records.DecodeServer(row.Key, row.Value); err == nil {
			listed[server.Addr] = true
		}
	}
	living := staging.Living(agents, listed)
	if len(living) < len(agents) {
		l.log.WithFields(logrus.Fields{"agents": len(agents), "living": len(living)}).Info("Agents without an engine are left out.")
	}
	return living, nil
}
