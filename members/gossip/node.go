package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/core/netdial"
	"currantusher.dev/core/pause"
)

const (
	// maxDatagramBytes bounds the size of a received message.
	maxDatagramBytes = 32 << 10
	// urgentDelay is the least time between two rounds, in which more news can arrive.
	urgentDelay = 50 * time.Millisecond
)

// Loads holds the requests in flight by backend server as of the last round.
// The maps must not be modified.
type Loads struct {
	At time.Time
	// Own counts the requests of this entry, Peers those of all other alive
	// entries.
	Own   map[core.InstanceID]int
	Peers map[core.InstanceID]int
	// PeerPaces holds the servers that other alive entries observe to be slower than
	// usual, with the largest factor.
	PeerPaces map[core.InstanceID]float64
}

// Node exchanges messages with other entries. It is safe for concurrent use.
type Node struct {
	config Config
	socket *net.UDPConn
	// urgent asks for a round before the next one is due.
	urgent chan struct{}
	places placeExchange

	mu         sync.Mutex
	state      *State
	loads      Loads
	aliveCount int
	// work is the latest sum of the peers' work, or nil, and hasNewWork is set if a message
	// with loads has arrived since.
	work       *PeerWork
	hasNewWork bool
}

// Listen opens the node's UDP socket at Config.Self.PeerAddr.
func Listen(config Config) (*Node, error) {
	config.applyDefaults()
	addr, err := net.ResolveUDPAddr("udp", config.Self.PeerAddr)
	if err != nil {
		return nil, fmt.Errorf("resolve peer address: %w", err)
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen on peer address: %w", err)
	}
	state := NewState(config.Self, uint64(config.Self.Incarnation))
	return &Node{config: config, socket: socket, state: state, urgent: make(chan struct{}, 1)}, nil
}

// AddPeerAddrs adds peer addresses at which entries may be running.
func (n *Node) AddPeerAddrs(addrs ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, addr := range addrs {
		n.state.AddPeerAddr(n.config.Now(), addr)
	}
}

// Introduce adds the descriptions of entries that may be running.
func (n *Node) Introduce(members []Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, member := range members {
		n.state.Introduce(n.config.Now(), member)
	}
}

// SetPhase changes the phase of this entry. If it differs from the previous
// phase, a message is sent immediately.
func (n *Node) SetPhase(phase Phase) {
	n.mu.Lock()
	changed := n.state.SetPhase(phase)
	n.mu.Unlock()
	if changed {
		n.sendRound()
	}
}

// SetActivity sets whether this entry is active and its recent request rate. If it
// became active or inactive, a message is sent immediately.
func (n *Node) SetActivity(active bool, requestsPerSecond float64) {
	n.mu.Lock()
	changed := n.state.SetActivity(active, requestsPerSecond)
	n.mu.Unlock()
	if changed {
		n.sendRound()
	}
}

// Run sends and receives messages until ctx is done.
func (n *Node) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = n.socket.Close() })
	defer stop()
	go n.runRounds(ctx)
	buffer := make([]byte, maxDatagramBytes)
	for {
		length, _, err := n.socket.ReadFromUDP(buffer)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			n.config.Log.WithError(err).Warn("Cannot receive a datagram; continuing with the next one.")
			continue
		}
		n.handleDatagram(buffer[:length])
	}
}

func (n *Node) runRounds(ctx context.Context) {
	ticker := time.NewTicker(RoundPeriod)
	defer ticker.Stop()
	for {
		n.sendRound()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-n.urgent:
			pause.For(ctx, urgentDelay)
		}
	}
}

// SendSoon sends a round within urgentDelay instead of waiting for the next one.
func (n *Node) SendSoon() {
	n.mu.Lock()
	n.state.RequireMessage()
	n.mu.Unlock()
	select {
	case n.urgent <- struct{}{}:
	default:
		// A round has been asked for already.
	}
}

func (n *Node) sendRound() {
	era, revisions := n.config.Revisions()
	loads, reachesStore := n.config.Loads(), n.config.ReachesStore()
	paces, work := n.config.Paces(), n.config.Work()
	evidence, rateLimits := n.config.Evidence(), n.config.RateLimits()
	n.mu.Lock()
	n.state.SetReachesStore(reachesStore)
	n.state.SetEra(era)
	now := n.config.Now()
	round := n.state.NextRound(now, revisions, loads)
	n.loads = Loads{At: now, Own: loads, Peers: n.state.Loads(now), PeerPaces: n.state.Paces(now)}
	aliveCount := len(n.state.AliveMembers(now))
	previousCount := n.aliveCount
	n.aliveCount = aliveCount
	n.mu.Unlock()
	if aliveCount != previousCount {
		n.config.Log.WithFields(logrus.Fields{"alive": aliveCount, "before": previousCount}).Info("The number of alive entries changed.")
	}
	n.forwardPauses()
	for _, outgoing := range round {
		if !outgoing.IsLoadsOnly {
			outgoing.Message.RateLimits = rateLimits
		}
		if !evidence.IsEmpty() {
			outgoing.Message.Evidence = &evidence
		}
		if !outgoing.Message.OmitsLoads {
			outgoing.Message.Paces = paces
			if work != nil {
				outgoing.Message.Work = encodeWork(work, workLimit(len(outgoing.Addrs)))
			}
		}
		n.sendWithAges(outgoing)
	}
}

// forwardPauses sends the notices that are due to members which agents may not know.
func (n *Node) forwardPauses() {
	n.mu.Lock()
	forwards := n.state.PauseForwards(n.config.Now())
	n.mu.Unlock()
	for _, outgoing := range forwards {
		n.send(outgoing)
	}
}

func (n *Node) send(outgoing Outgoing) {
	datagram := n.encode(outgoing.Message)
	if datagram == nil {
		return
	}
	for _, addr := range outgoing.Addrs {
		n.sendDatagram(datagram, addr)
	}
}

// encode returns the datagram of a message, or nil if that fails.
func (n *Node) encode(message Message) []byte {
	datagram, err := cbor.Marshal(message)
	if err != nil {
		n.config.Log.WithError(err).Error("Cannot encode the gossip message; skipping it.")
		return nil
	}
	return datagram
}

func (n *Node) sendDatagram(datagram []byte, peerAddr string) {
	if err := writeTo(n.socket, datagram, peerAddr); err != nil && !errors.Is(err, net.ErrClosed) {
		// The next round replaces a lost message.
		n.config.Log.WithField("peer", peerAddr).WithError(err).Debug("Cannot send a gossip message to a peer.")
	}
}

func (n *Node) handleDatagram(datagram []byte) {
	var message Message
	if err := cbor.Unmarshal(datagram, &message); err != nil {
		n.config.Log.WithError(err).Warn("Discarded a datagram that is not a gossip message.")
		return
	}
	if message.PauseNotice != nil {
		if isPlausible(*message.PauseNotice) {
			n.receivePause(*message.PauseNotice)
		}
		return
	}
	if len(message.Pauses) > 0 {
		for _, notice := range message.Pauses {
			if isPlausible(notice) {
				n.config.OnPauseNotice(notice)
			}
		}
		return
	}
	if message.PlaceRequest != nil {
		n.answerPlaceRequest(*message.PlaceRequest)
		return
	}
	if message.PlaceReply != nil {
		n.places.deliver(*message.PlaceReply)
		return
	}
	if len(message.RateLimits) > 0 {
		n.config.OnRateLimits(message.From.ID, message.RateLimits)
	}
	if weights := message.weights(); len(weights) > 0 {
		n.config.OnNewestWeights(weights)
	}
	if message.Evidence != nil {
		n.config.OnEvidence(*message.Evidence)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.state.Receive(n.config.Now(), message) && !message.OmitsLoads {
		n.hasNewWork = true
	}
}

// receivePause handles a notice of an agent. Forwarded notices are not forwarded again.
func (n *Node) receivePause(notice fleet.PauseNotice) {
	n.config.OnPauseNotice(notice)
	n.mu.Lock()
	n.state.RecordPause(n.config.Now(), notice)
	n.mu.Unlock()
	n.forwardPauses()
}

// SendPauseNotice sends a pause notice about a backend server to the entry at a
// peer address.
func SendPauseNotice(socket *net.UDPConn, addr string, notice fleet.PauseNotice) error {
	datagram, err := cbor.Marshal(Message{PauseNotice: &notice})
	if err != nil {
		return err
	}
	return writeTo(socket, datagram, addr)
}

// writeTo sends a datagram to an IP address and port.
func writeTo(socket *net.UDPConn, datagram []byte, addr string) error {
	if err := netdial.CheckAddr(addr); err != nil {
		return err
	}
	target, err := netip.ParseAddrPort(addr)
	if err != nil {
		return err
	}
	_, err = socket.WriteToUDPAddrPort(datagram, target)
	return err
}

// AliveMembers returns this entry and the alive peers, ordered by ID.
func (n *Node) AliveMembers() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.AliveMembers(n.config.Now())
}

// AwaitedMembers returns the introduced members from which a first sign of life is
// expected.
func (n *Node) AwaitedMembers() []Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.AwaitedMembers(n.config.Now())
}

// Senders describes the entries that may be using their shares of the limits of
// backend servers.
func (n *Node) Senders() Senders {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.Senders(n.config.Now())
}

// IsIsolated reports whether most of the active entries are silent.
func (n *Node) IsIsolated() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.IsIsolated(n.config.Now())
}

// IsLarge reports whether the deployment has more entries than a round of messages
// reaches.
func (n *Node) IsLarge() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.IsLarge()
}

// Loads returns the requests in flight as of the last round.
func (n *Node) Loads() Loads {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.loads
}

// PeerReachesStore reports whether the store responds to any alive peer.
func (n *Node) PeerReachesStore() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.PeerReachesStore(n.config.Now())
}

// PeerWithNewerRevision returns the address of the alive peer with the latest
// revision of table, or "" if no alive peer has a later one than revision in era.
func (n *Node) PeerWithNewerRevision(table string, era, revision uint64) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.PeerWithNewerRevision(n.config.Now(), table, era, revision)
}
