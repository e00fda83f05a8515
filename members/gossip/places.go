package gossip

import (
	"context"
	"errors"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
)

// ErrNoReply means that an entry did not reply to a request for a place in time. If it
// gave a place away, that place stays unused.
var ErrNoReply = errors.New("no reply to the request for a place")

// placeExchange holds the requests for places that have no reply yet.
type placeExchange struct {
	mu        sync.Mutex
	lastNonce uint64
	replies   map[uint64]chan fleet.PlaceReply
}

func (e *placeExchange) open() (nonce uint64, reply <-chan fleet.PlaceReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.replies == nil {
		e.replies = map[uint64]chan fleet.PlaceReply{}
	}
	e.lastNonce++
	c := make(chan fleet.PlaceReply, 1)
	e.replies[e.lastNonce] = c
	return e.lastNonce, c
}

func (e *placeExchange) close(nonce uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.replies, nonce)
}

// deliver passes a reply to the request that waits for it. Late replies are dropped.
func (e *placeExchange) deliver(reply fleet.PlaceReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.replies[reply.Nonce]; c != nil {
		c <- reply
		delete(e.replies, reply.Nonce)
	}
}

// AskForPlace asks the entry at a peer address for a place at a server and waits for the
// reply until ctx ends.
func (n *Node) AskForPlace(ctx context.Context, addr string, server core.InstanceID, incarnation core.Incarnation) (fleet.PlaceReply, error) {
	nonce, replies := n.places.open()
	defer n.places.close(nonce)
	request := fleet.PlaceRequest{
		Nonce: nonce, From: n.config.Self.ID, ReplyAddr: n.config.Self.PeerAddr, Server: server, Incarnation: incarnation,
	}
	datagram, err := cbor.Marshal(Message{PlaceRequest: &request})
	if err != nil {
		return fleet.PlaceReply{}, err
	}
	n.sendDatagram(datagram, addr)
	select {
	case reply := <-replies:
		return reply, nil
	case <-ctx.Done():
		return fleet.PlaceReply{}, ErrNoReply
	}
}

func (n *Node) answerPlaceRequest(request fleet.PlaceRequest) {
	reply := n.config.OnPlaceRequest(request)
	reply.Nonce = request.Nonce
	n.send(Outgoing{Message: Message{PlaceReply: &reply}, Addrs: []string{request.ReplyAddr}})
}

// PeerAddr returns the peer address of an entry, or "" if it is not known.
func (n *Node) PeerAddr(id core.InstanceID) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.state.PeerAddr(id)
}

// PeerAddr returns the peer address of an entry, or "" if it is not known.
func (s *State) PeerAddr(id core.InstanceID) string {
	if p := s.peers[id]; p != nil {
		return p.member.PeerAddr
	}
	return ""
}
