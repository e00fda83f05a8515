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
	// repeats and repeatPause are how often and in which distance an
	// announcement is sent, since datagrams are lost at times.
	repeats     = 2
	repeatPause = 40 * time.Millisecond
	// queuedPauses bounds the announcements that wait for the store's answer.
	queuedPauses = 16
)

// announcer tells the entries when the engine beside this agent pauses.
type announcer struct {
	engine  string
	entries *entryList
	log     *logrus.Entry
	queue   chan queuedPause
	// number orders announcements, also over restarts of the agent.
	number uint64
}

type queuedPause struct {
	pause fleet.PauseNotice
	at    time.Time
}

func newAnnouncer(engine string, entries *entryList, log *logrus.Entry) *announcer {
	return &announcer{
		engine: engine, entries: entries, log: log,
		queue: make(chan queuedPause, queuedPauses), number: uint64(time.Now().UnixNano()),
	}
}

// announce hands an announcement to run. It never blocks: entries that miss one
// learn of the pause from the engine's refusals.
func (a *announcer) announce(pause fleet.PauseNotice) {
	select {
	case a.queue <- queuedPause{pause: pause, at: time.Now()}:
	default:
		a.log.WithField("version", pause.Version).Warn("Pause not announced: too many are waiting.")
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
		case next := <-a.queue:
			a.send(ctx, socket, next)
		}
	}
}

func (a *announcer) send(ctx context.Context, socket *net.UDPConn, next queuedPause) {
	entries := a.entries.get(ctx)
	a.number++
	for range repeats {
		announced := next.pause
		announced.Addr = a.engine
		announced.Sequence = a.number
		announced.StartsIn = max(next.pause.StartsIn-time.Since(next.at), 0)
		for _, entry := range entries {
			if err := gossip.Announce(socket, entry.PeerAddr, announced); err != nil {
				a.log.WithError(err).WithField("entry", entry.ID).Info("Pause not announced to an entry.")
			}
		}
		time.Sleep(repeatPause)
	}
	a.log.WithFields(logrus.Fields{
		"version": next.pause.Version, "in_ms": next.pause.StartsIn.Milliseconds(), "over": next.pause.Ended, "entries": len(entries),
	}).Info("Pause announced.")
}
