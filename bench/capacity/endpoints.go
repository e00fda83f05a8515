package main

import (
	"context"
	"fmt"
	"sync"

	"currantusher.dev/core"
	"currantusher.dev/core/keys"
	"currantusher.dev/wire"
)

// network holds peer endpoints on loopback that trust each other.
type network struct {
	authority *keys.Authority
	peers     []*wire.Endpoint
	cancel    context.CancelFunc
	ctx       context.Context
	wg        sync.WaitGroup
}

func newNetwork(ctx context.Context) (*network, error) {
	authority, err := keys.NewAuthority()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	return &network{authority: authority, ctx: ctx, cancel: cancel}, nil
}

func (n *network) listen(id core.InstanceID) (*wire.Endpoint, error) {
	pair, err := n.authority.Issue(id)
	if err != nil {
		return nil, err
	}
	tls, err := keys.TLSConfig(n.authority.CertPEM(), pair)
	if err != nil {
		return nil, err
	}
	peer, err := wire.Listen("127.0.0.1:0", tls)
	if err != nil {
		return nil, err
	}
	n.peers = append(n.peers, peer)
	return peer, nil
}

func (n *network) listenMany(prefix string, count int) ([]*wire.Endpoint, error) {
	peers := make([]*wire.Endpoint, 0, count)
	for i := range count {
		peer, err := n.listen(core.InstanceID(fmt.Sprintf("%s-%d", prefix, i)))
		if err != nil {
			return nil, err
		}
		peers = append(peers, peer)
	}
	return peers, nil
}

func (n *network) serve(peer *wire.Endpoint) {
	n.wg.Go(func() { _ = peer.Serve(n.ctx) })
}

func (n *network) close() {
	n.cancel()
	for _, peer := range n.peers {
		_ = peer.Close()
	}
	n.wg.Wait()
}
