package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"currantusher.dev/bench/measure"
	"currantusher.dev/bench/procs"
	"currantusher.dev/core"
	"currantusher.dev/core/keys"
	"currantusher.dev/platform"
	"currantusher.dev/standin/engine"
	"currantusher.dev/standin/link"
	"currantusher.dev/standin/origin"
	"currantusher.dev/standin/service"
	"currantusher.dev/standin/store"
	"currantusher.dev/tables"
)

const (
	headerTimeout   = 5 * time.Second
	operatorToken   = "demo-operator"
	storeReads      = 2000
	storeWrites     = 500
	listLag         = 500 * time.Millisecond
	listRetention   = 10 * time.Second
	parallelStarts  = 8
	idleConnections = 256
)

// node is one instance with its daemon.
type node struct {
	common  Common
	backend measure.Backend
	origin  string
	// weightStore is the path to the rate-limited weight store.
	weightStore string

	// changing is held while the daemon is being replaced.
	changing sync.Mutex
	mu       sync.Mutex
	daemon   Daemon
}

// Site is a running site.
type Site struct {
	Layout  Layout
	Network *link.Network
	Store   *store.Server
	Origin  *origin.Origin
	// WeightStore serves what the origin does, at a rate of its own.
	WeightStore *origin.Origin
	Backends    *measure.Backends

	hooks     Hooks
	authority *keys.Authority
	storeURL  string
	originAt  string
	weightsAt string
	client    *http.Client
	entries   []*node
	agents    []*node
	servers   []*http.Server
}

// New starts the stand-ins of a site. Start starts its daemons.
func New(layout Layout, hooks Hooks) (*Site, error) {
	if err := layout.validate(); err != nil {
		return nil, err
	}
	authority, err := keys.NewAuthority()
	if err != nil {
		return nil, err
	}
	s := &Site{
		Layout: layout,
		Network: link.NewNetwork(link.Config{
			RegionBytesPerSecond: layout.RegionBytesPerSecond,
			DataCentreDelay:      layout.DataCentreDelay,
			RegionDelay:          layout.RegionDelay,
		}),
		Store:       store.New(store.Config{ReadsPerSecond: storeReads, WritesPerSecond: storeWrites, ListLag: listLag, ListRetention: listRetention}),
		Origin:      origin.New(origin.Config{BytesPerSecond: layout.OriginBytesPerSecond}),
		WeightStore: origin.New(origin.Config{BytesPerSecond: layout.OriginBytesPerSecond}),
		hooks:       hooks,
		authority:   authority,
		client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}},
	}
	s.Backends = &measure.Backends{Client: s.client}
	if err := s.addStandIns(); err != nil {
		s.Close(context.Background())
		return nil, err
	}
	return s, nil
}

func (s *Site) addStandIns() error {
	address, err := s.serve(s.Store)
	if err != nil {
		return err
	}
	s.storeURL = "http://" + address
	if s.originAt, err = s.serve(s.Origin); err != nil {
		return err
	}
	if s.weightsAt, err = s.serve(s.WeightStore); err != nil {
		return err
	}
	content := engine.NewSharedChunks()
	for _, dc := range s.Layout.DataCentres {
		for i := range dc.Entries {
			if err := s.addEntry(dc, i+1); err != nil {
				return err
			}
		}
		for _, group := range s.Layout.Groups {
			for i := range group.PerDataCentre {
				if err := s.addAgent(dc, group, i+1, content); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// serve runs a stand-in's HTTP server on a loopback port.
func (s *Site) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *Site) newNode(id core.InstanceID, role platform.Role, dc DataCentre) (*node, error) {
	s.Network.AddInstance(link.Instance{ID: id, DataCentre: dc.Name, Region: dc.Region, BytesPerSecond: s.Layout.MachineBytesPerSecond})
	listen, err := procs.FreeUDP()
	if err != nil {
		return nil, err
	}
	announced, err := s.Network.ProxyUDP(id, listen)
	if err != nil {
		return nil, err
	}
	pair, err := s.authority.Issue(id)
	if err != nil {
		return nil, err
	}
	return &node{common: Common{
		Instance: platform.Instance{
			ID:         id,
			Role:       role,
			DataCentre: dc.Name,
			State:      platform.InstanceLive,
			PeerAddr:   announced,
		},
		Region:     dc.Region,
		PeerListen: listen,
		StoreURL:   s.storeURL,
		CA:         s.authority.CertPEM(),
		Pair:       pair,
	}}, nil
}

func (s *Site) addEntry(dc DataCentre, number int) error {
	n, err := s.newNode(core.InstanceID(fmt.Sprintf("entry-%s-%d", dc.Name, number)), platform.RoleEntry, dc)
	if err != nil {
		return err
	}
	if n.common.Instance.HTTPAddr, err = procs.FreeTCP(); err != nil {
		return err
	}
	s.entries = append(s.entries, n)
	return nil
}

func (s *Site) addAgent(dc DataCentre, group Group, number int, content *engine.SharedChunks) error {
	id := core.InstanceID(fmt.Sprintf("%s-%s-%d", group.Name, dc.Name, number))
	n, err := s.newNode(id, platform.RoleAgent, dc)
	if err != nil {
		return err
	}
	n.common.Instance.Group = group.Name
	address, err := s.serve(s.newBackend(id, group, content))
	if err != nil {
		return err
	}
	n.backend = measure.Backend{ID: id, DataCentre: dc.Name, Kind: group.Kind, URL: "http://" + address}
	if err := s.addSources(n); err != nil {
		return err
	}
	s.agents = append(s.agents, n)
	s.Backends.All = append(s.Backends.All, n.backend)
	return nil
}

// addSources opens the ports by which an agent reaches the origin and the
// weight store over its machine's link.
func (s *Site) addSources(n *node) error {
	if n.backend.Kind == tables.PoolService {
		return nil
	}
	originAt, err := s.Network.ProxyTCP(n.common.Instance.ID, s.originAt)
	if err != nil {
		return err
	}
	weightsAt, err := s.Network.ProxyTCP(n.common.Instance.ID, s.weightsAt)
	if err != nil {
		return err
	}
	n.origin = "http://" + originAt
	n.weightStore = "http://" + weightsAt
	return nil
}

func (s *Site) newBackend(id core.InstanceID, group Group, content *engine.SharedChunks) http.Handler {
	if group.Kind == tables.PoolService {
		return service.New(service.Config{
			Name:               string(id),
			Delay:              s.Layout.ServiceDelay,
			WarmUp:             s.Layout.WarmUp,
			ColdLimit:          group.ColdLimit,
			WarmLimit:          group.WarmLimit,
			DataCentreOutGrace: s.Layout.OutGrace,
		})
	}
	return engine.New(engine.Config{
		Name:               string(id),
		TokenDelay:         s.Layout.TokenDelay,
		WarmUp:             s.Layout.WarmUp,
		ColdLimit:          group.ColdLimit,
		WarmLimit:          group.WarmLimit,
		DataCentreOutGrace: s.Layout.OutGrace,
		CheckFence:         true,
		SharedChunks:       content,
	})
}

// Start starts all daemons and sets the tables.
func (s *Site) Start(ctx context.Context) error {
	if err := s.startAll(ctx, s.entries); err != nil {
		return err
	}
	if err := s.startAll(ctx, s.agents); err != nil {
		return err
	}
	if err := s.waitAnswering(ctx); err != nil {
		return err
	}
	_, err := s.Edit(ctx, s.Layout.firstEdit())
	return err
}

func (s *Site) startAll(ctx context.Context, nodes []*node) error {
	var group errgroup.Group
	group.SetLimit(parallelStarts)
	for _, n := range nodes {
		group.Go(func() error { return s.start(ctx, n) })
	}
	return group.Wait()
}

func (s *Site) start(ctx context.Context, n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	var err error
	if n.common.Instance.Role == platform.RoleEntry {
		n.daemon, err = s.hooks.StartEntry(ctx, EntrySpec{Common: n.common, OperatorToken: operatorToken})
	} else {
		n.daemon, err = s.hooks.StartAgent(ctx, AgentSpec{
			Common:         n.common,
			BackendURL:     n.backend.URL,
			Kind:           n.backend.Kind,
			OriginURL:      n.origin,
			WeightStoreURL: n.weightStore,
		})
	}
	if err != nil {
		return fmt.Errorf("start %s: %w", n.common.Instance.ID, err)
	}
	return nil
}

// stop ends a node's daemon, gracefully or at once.
func (n *node) stop(ctx context.Context, graceful bool) error {
	n.mu.Lock()
	daemon := n.daemon
	n.daemon = nil
	n.mu.Unlock()
	if daemon == nil {
		return nil
	}
	if graceful {
		return daemon.Stop(ctx)
	}
	daemon.Kill()
	return nil
}

// Close ends daemons, stand-ins and links.
func (s *Site) Close(ctx context.Context) {
	var group errgroup.Group
	for _, n := range append(append([]*node(nil), s.agents...), s.entries...) {
		group.Go(func() error { return n.stop(ctx, false) })
	}
	_ = group.Wait()
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.Network.Close()
	s.client.CloseIdleConnections()
}

var errNoNode = errors.New("fleet: no such instance")

// ErrChanging means that an instance's daemon is already being replaced.
var ErrChanging = errors.New("fleet: instance is being replaced")

func (s *Site) node(id core.InstanceID) (*node, error) {
	for _, n := range append(append([]*node(nil), s.agents...), s.entries...) {
		if n.common.Instance.ID == id {
			return n, nil
		}
	}
	return nil, fmt.Errorf("%w: %s", errNoNode, id)
}

// Restart ends one daemon, gracefully or at once, and starts another in its
// place after the gap.
func (s *Site) Restart(ctx context.Context, id core.InstanceID, graceful bool, gap time.Duration) error {
	n, err := s.node(id)
	if err != nil {
		return err
	}
	if !n.changing.TryLock() {
		return fmt.Errorf("%w: %s", ErrChanging, id)
	}
	defer n.changing.Unlock()
	if err := n.stop(ctx, graceful); err != nil {
		return err
	}
	if err := pause(ctx, gap); err != nil {
		return err
	}
	return s.start(ctx, n)
}

// EntryAddresses returns the HTTP addresses of all entries.
func (s *Site) EntryAddresses() []string {
	addresses := make([]string, 0, len(s.entries))
	for _, n := range s.entries {
		addresses = append(addresses, n.common.Instance.HTTPAddr)
	}
	return addresses
}

// EntryIDs and AgentIDs return the instances in a fixed order.
func (s *Site) EntryIDs() []core.InstanceID { return ids(s.entries) }

// AgentIDs returns the agents' instances in a fixed order.
func (s *Site) AgentIDs() []core.InstanceID { return ids(s.agents) }

func ids(nodes []*node) []core.InstanceID {
	all := make([]core.InstanceID, 0, len(nodes))
	for _, n := range nodes {
		all = append(all, n.common.Instance.ID)
	}
	return all
}
