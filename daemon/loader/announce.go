package loader

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core/fleet"
	"currantusher.dev/members/gossip"
)

const (
	// sendCount is how often each announcement is sent, at intervals of
	// sendInterval, because datagrams can be lost.
	sendCount    = 2
	sendInterval = 40 * time.Millisecond
	// maxQueuedPauses bounds the announcements that are queued while the entries
	// are read from the store.
	maxQueuedPauses = 16
	// repeatPeriod is how long after the start of a pause its announcement is repeated. It
	// is shorter than the time for which entries keep a pause, since they would take a
	// later repetition for a new one.
	repeatPeriod = 3 * time.Second
	// maxQueuedRepeats bounds the entries that wait for a repetition.
	maxQueuedRepeats = 16
)

// announcer sends announcements of the engine's pauses to the entries.
type announcer struct {
	engineAddr string
	entries    *entryList
	log        *logrus.Entry
	queue      chan queuedPause
	// repeats holds entries that may have started after an announcement was sent.
	repeats chan gossip.Member
	// latest holds the last announcement of each version whose load has not ended.
	latest map[fleet.WeightsVersion]queuedPause
	// lastSequence is the sequence number of the last announcement. It increases
	// across restarts of the agent, so that entries can order the announcements.
	lastSequence uint64
}

type queuedPause struct {
	pause    fleet.PauseNotice
	queuedAt time.Time
}

func newAnnouncer(engineAddr string, entries *entryList, log *logrus.Entry) *announcer {
	return &announcer{
		engineAddr: engineAddr, entries: entries, log: log,
		queue: make(chan queuedPause, maxQueuedPauses), repeats: make(chan gossip.Member, maxQueuedRepeats),
		latest: map[fleet.WeightsVersion]queuedPause{}, lastSequence: uint64(time.Now().UnixNano()),
	}
}

// announce queues an announcement, which run sends. It never blocks and drops the
// announcement if the queue is full: entries that miss it detect the pause when
// the engine refuses requests.
func (a *announcer) announce(pause fleet.PauseNotice) {
	select {
	case a.queue <- queuedPause{pause: pause, queuedAt: time.Now()}:
	default:
		a.log.WithField("version", pause.Version).Warn("Dropping the announcement of a pause; too many are queued.")
	}
}

func (a *announcer) run(ctx context.Context) error {
	socket, err := net.ListenUDP("udp", nil)
	if err != nil {
		return err
	}
	defer func() { _ = socket.Close() }()
	for {
		select {
		case <-ctx.Done():
			return nil
		case queued := <-a.queue:
			a.send(ctx, socket, queued)
		case entry := <-a.repeats:
			a.repeat(socket, entry)
		}
	}
}

func (a *announcer) send(ctx context.Context, socket *net.UDPConn, queued queuedPause) {
	entries := a.entries.get(ctx)
	a.lastSequence++
	queued.pause.Addr, queued.pause.Sequence = a.engineAddr, a.lastSequence
	a.note(queued)
	for range sendCount {
		for _, entry := range entries {
			a.sendTo(socket, entry, queued)
		}
		time.Sleep(sendInterval)
	}
	a.log.WithFields(logrus.Fields{
		"version": queued.pause.Version, "in_ms": queued.pause.StartsIn.Milliseconds(), "over": queued.pause.Ended, "entries": len(entries),
	}).Info("Pause announced.")
}

func (a *announcer) sendTo(socket *net.UDPConn, entry gossip.Member, queued queuedPause) {
	if err := gossip.SendPauseNotice(socket, entry.PeerAddr, queued.notice(time.Now())); err != nil {
		a.log.WithError(err).WithField("entry", entry.ID).Info("Could not announce a pause to an entry.")
	}
}

// notice returns the announcement as of now.
func (q queuedPause) notice(now time.Time) fleet.PauseNotice {
	notice := q.pause
	notice.StartsIn = max(notice.StartsIn-now.Sub(q.queuedAt), 0)
	return notice
}

// note keeps the announcement of a pause until the load has ended.
func (a *announcer) note(queued queuedPause) {
	if !queued.pause.Ended {
		a.latest[queued.pause.Version] = queued
		return
	}
	maps.DeleteFunc(a.latest, func(version fleet.WeightsVersion, q queuedPause) bool {
		return version <= queued.pause.Version && q.pause.Model == queued.pause.Model
	})
}

// repeatTo queues the announcements in force for an entry, which run sends. It never
// blocks. An entry that started after they were sent knows them from other entries, unless
// all have started since. It tells those that started recently.
func (a *announcer) repeatTo(entry gossip.Member) {
	select {
	case a.repeats <- entry:
	default:
		// They are repeated to other entries a second later.
	}
}

func (a *announcer) repeat(socket *net.UDPConn, entry gossip.Member) {
	for _, queued := range a.inForce(time.Now()) {
		a.sendTo(socket, entry, queued)
	}
}

// inForce returns the announcements of pauses that have not ended.
func (a *announcer) inForce(now time.Time) []queuedPause {
	maps.DeleteFunc(a.latest, func(_ fleet.WeightsVersion, q queuedPause) bool {
		return now.Sub(q.queuedAt) > q.pause.StartsIn+repeatPeriod
	})
	return slices.Collect(maps.Values(a.latest))
}
