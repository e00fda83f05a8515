package main

import (
	"context"
	"fmt"
	"sync"

	"currantusher.dev/core"
	"currantusher.dev/core/keys"
	"currantusher.dev/wire"
)

// network holds endpoints on loopback with certificates of one authority.
type network struct {
	authority *keys.Authority
	endpoints []*wire.Endpoint
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
	keyPair, err := n.authority.Issue(id)
	if err != nil {
		return nil, err
	}
	tlsConfig, err := keys.TLSConfig(n.authority.CertPEM(), keyPair)
	if err != nil {
		return nil, err
	}
	endpoint, err := wire.Listen("127.0.0.1:0", tlsConfig)
	if err != nil {
		return nil, err
	}
	n.endpoints = append(n.endpoints, endpoint)
	return endpoint, nil
}

func (n *network) listenMany(prefix string, count int) ([]*wire.Endpoint, error) {
	endpoints := make([]*wire.Endpoint, 0, count)
	for i := range count {
		endpoint, err := n.listen(core.InstanceID(fmt.Sprintf("%s-%d", prefix, i)))
		if err != nil {
			return nil, err
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints, nil
}

func (n *network) serve(endpoint *wire.Endpoint) {
	n.wg.Go(func() { _ = endpoint.Serve(n.ctx) })
}

func (n *network) close() {
	n.cancel()
	for _, endpoint := range n.endpoints {
		_ = endpoint.Close()
	}
	n.wg.Wait()
}
