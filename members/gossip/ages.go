package gossip

import "time"

const (
	// maxAgeDelay bounds the time between taking the ages of versions and sending them.
	maxAgeDelay = 50 * time.Millisecond
	// maxAgeAttempts bounds how often ages are taken for one address. The next round
	// replaces a message that is not sent.
	maxAgeAttempts = 3
)

// sendWithAges adds the ages of versions to a message and sends it. Ages that were taken
// before a standstill of this process are too low, and are taken again.
func (n *Node) sendWithAges(outgoing Outgoing) {
	var datagram []byte
	var takenAt time.Time
	for _, addr := range outgoing.Addrs {
		for attempt := 0; n.config.Now().Sub(takenAt) > maxAgeDelay; attempt++ {
			if attempt == maxAgeAttempts {
				n.config.Log.Warn("This process is too slow to send ages of versions; skipping the rest of a gossip message.")
				return
			}
			takenAt = n.config.Now()
			outgoing.Message.setWeights(n.config.NewestWeights())
			if datagram = n.encode(outgoing.Message); datagram == nil {
				return
			}
		}
		n.sendDatagram(datagram, addr)
	}
}
