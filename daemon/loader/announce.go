package loader

import (
	"context"
	"net"
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
)

// announcer sends announcements of the engine's pauses to the entries.
type announcer struct {
	engineAddr string
	entries    *entryList
	log        *logrus.Entry
	queue      chan queuedPause
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
		queue: make(chan queuedPause, maxQueuedPauses), lastSequence: uint64(time.Now().UnixNano()),
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
		}
	}
}

func (a *announcer) send(ctx context.Context, socket *net.UDPConn, queued queuedPause) {
	entries := a.entries.get(ctx)
	a.lastSequence++
	for range sendCount {
		announcement := queued.pause
		announcement.Addr = a.engineAddr
		announcement.Sequence = a.lastSequence
		announcement.StartsIn = max(queued.pause.StartsIn-time.Since(queued.queuedAt), 0)
		for _, entry := range entries {
			if err := gossip.SendPauseNotice(socket, entry.PeerAddr, announcement); err != nil {
				a.log.WithError(err).WithField("entry", entry.ID).Info("Could not announce a pause to an entry.")
			}
		}
		time.Sleep(sendInterval)
	}
	a.log.WithFields(logrus.Fields{
		"version": queued.pause.Version, "in_ms": queued.pause.StartsIn.Milliseconds(), "over": queued.pause.Ended, "entries": len(entries),
	}).Info("Pause announced.")
}
