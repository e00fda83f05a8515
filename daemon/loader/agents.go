package loader

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"currantusher.dev/core/pause"
	"currantusher.dev/daemon/roster"
	"currantusher.dev/platform/records"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/tables/watch"
	"currantusher.dev/weights/staging"
)

const (
	// agentsTTL is how long the list of agents is cached.
	agentsTTL = 2 * time.Second
	// firstReadTimeout bounds the wait for the first list. After it the agent fetches
	// weights on its own.
	firstReadTimeout = 10 * time.Second
	// firstReadRetryDelay is the mean delay after a failed first read.
	firstReadRetryDelay = 300 * time.Millisecond
)

// agentList caches the agents that distribute weights. It is safe for concurrent
// use.
type agentList struct {
	roster *roster.Roster[staging.Agent]
	reader roster.Reader
	log    *logrus.Entry

	mu     sync.Mutex
	cached []staging.Agent
	readAt time.Time
}

// get returns the agents and marks those whose engines are not in the store. If the store is
// unavailable, it returns the agents that were read last. While none were read, it
// retries: an agent that knows no other one fetches all pieces from the origin, and
// after a restart of the whole fleet all agents would do so.
func (l *agentList) get(ctx context.Context) []staging.Agent {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.cached) > 0 && time.Since(l.readAt) < agentsTTL {
		return l.cached
	}
	agents, err := l.read(ctx)
	for started := time.Now(); err != nil && len(l.cached) == 0 && time.Since(started) < firstReadTimeout && ctx.Err() == nil; {
		l.log.WithError(err).Info("Could not read the agents; retrying.")
		pause.For(ctx, firstReadRetryDelay/2+rand.N(firstReadRetryDelay))
		agents, err = l.read(ctx)
	}
	if err != nil {
		l.log.WithError(err).WithField("known", len(l.cached)).Warn("Could not read the agents; using the last known ones.")
		return l.cached
	}
	l.cached, l.readAt = agents, time.Now()
	return agents
}

func (l *agentList) read(ctx context.Context) ([]staging.Agent, error) {
	var agents []staging.Agent
	var page rowstore.Page
	// Each of the two reads may have to wait until a relay is found to be unresponsive.
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		agents, err = l.roster.Read(groupCtx)
		return err
	})
	group.Go(func() (err error) {
		page, err = l.reader.ReadAll(groupCtx, watch.ServersTable)
		return err
	})
	if err := group.Wait(); err != nil {
		return nil, err
	}
	engineAddrs := map[string]bool{}
	for _, row := range page.Rows {
		// An invalid row does not count as an engine.
		if server, err := records.DecodeServer(row.Key, row.Value); err == nil {
			engineAddrs[server.Addr] = true
		}
	}
	marked, unlisted := staging.MarkUnlisted(agents, engineAddrs)
	if unlisted > 0 {
		l.log.WithFields(logrus.Fields{"agents": len(agents), "unlisted": unlisted}).Info("Some agents' engines are not listed; others fetch their pieces.")
	}
	return marked, nil
}
