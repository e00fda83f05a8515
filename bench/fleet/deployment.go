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
	readHeaderTimeout    = 5 * time.Second
	operatorToken        = "demo-operator"
	storeReadsPerSecond  = 2000
	storeWritesPerSecond = 500
	listLag              = 500 * time.Millisecond
	listRetention        = 10 * time.Second
	maxParallelStarts    = 8
	maxIdleConnsPerHost  = 256
)

// node is one instance and its daemon.
type node struct {
	spec      DaemonSpec
	backend   measure.Backend
	originURL string
	// weightStoreURL is the base URL of the rate-limited weight store.
	weightStoreURL string

	// replaceMu is held while the daemon is being replaced.
	replaceMu sync.Mutex
	mu        sync.Mutex
	daemon    Daemon
}

// Deployment is a running deployment.
type Deployment struct {
	Layout  Layout
	Network *link.Network
	Store   *store.Server
	Origin  *origin.Origin
	// WeightStore serves the same content as Origin, with a separate rate limit.
	WeightStore *origin.Origin
	Backends    *measure.Backends

	hooks              Hooks
	authority          *keys.Authority
	storeURL           string
	originAddress      string
	weightStoreAddress string
	client             *http.Client
	entries            []*node
	agents             []*node
	servers            []*http.Server
}

// New starts the stand-ins of a deployment. Start starts its daemons.
func New(layout Layout, hooks Hooks) (*Deployment, error) {
	if err := layout.validate(); err != nil {
		return nil, err
	}
	authority, err := keys.NewAuthority()
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		Layout: layout,
		Network: link.NewNetwork(link.Config{
			RegionBytesPerSecond: layout.RegionBytesPerSecond,
			DataCentreDelay:      layout.DataCentreDelay,
			RegionDelay:          layout.RegionDelay,
		}),
		Store:       store.New(store.Config{ReadsPerSecond: storeReadsPerSecond, WritesPerSecond: storeWritesPerSecond, ListLag: listLag, ListRetention: listRetention}),
		Origin:      origin.New(origin.Config{BytesPerSecond: layout.OriginBytesPerSecond}),
		WeightStore: origin.New(origin.Config{BytesPerSecond: layout.OriginBytesPerSecond}),
		hooks:       hooks,
		authority:   authority,
		client:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}},
	}
	d.Backends = &measure.Backends{Client: d.client}
	if err := d.startStandIns(); err != nil {
		d.Close(context.Background())
		return nil, err
	}
	return d, nil
}

func (d *Deployment) startStandIns() error {
	address, err := d.serve(d.Store)
	if err != nil {
		return err
	}
	d.storeURL = "http://" + address
	if d.originAddress, err = d.serve(d.Origin); err != nil {
		return err
	}
	if d.weightStoreAddress, err = d.serve(d.WeightStore); err != nil {
		return err
	}
	sharedChunks := engine.NewSharedChunks()
	for _, dc := range d.Layout.DataCentres {
		for i := range dc.Entries {
			if err := d.addEntry(dc, i+1); err != nil {
				return err
			}
		}
		for _, group := range d.Layout.Groups {
			for i := range group.PerDataCentre {
				if err := d.addAgent(dc, group, i+1, sharedChunks); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// serve runs the HTTP server of a stand-in on a loopback port and returns its
// address.
func (d *Deployment) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (d *Deployment) newNode(id core.InstanceID, role platform.Role, dc DataCentre) (*node, error) {
	d.Network.AddInstance(link.Instance{ID: id, DataCentre: dc.Name, Region: dc.Region, BytesPerSecond: d.Layout.InstanceBytesPerSecond})
	listen, err := procs.FreeUDP()
	if err != nil {
		return nil, err
	}
	advertised, err := d.Network.ProxyUDP(id, listen)
	if err != nil {
		return nil, err
	}
	keyPair, err := d.authority.Issue(id)
	if err != nil {
		return nil, err
	}
	return &node{spec: DaemonSpec{
		Instance: platform.Instance{
			ID:         id,
			Role:       role,
			DataCentre: dc.Name,
			State:      platform.InstanceLive,
			PeerAddr:   advertised,
		},
		Region:     dc.Region,
		PeerListen: listen,
		StoreURL:   d.storeURL,
		CA:         d.authority.CertPEM(),
		KeyPair:    keyPair,
	}}, nil
}

func (d *Deployment) addEntry(dc DataCentre, number int) error {
	n, err := d.newNode(core.InstanceID(fmt.Sprintf("entry-%s-%d", dc.Name, number)), platform.RoleEntry, dc)
	if err != nil {
		return err
	}
	if n.spec.Instance.HTTPAddr, err = procs.FreeTCP(); err != nil {
		return err
	}
	d.entries = append(d.entries, n)
	return nil
}

func (d *Deployment) addAgent(dc DataCentre, group Group, number int, sharedChunks *engine.SharedChunks) error {
	id := core.InstanceID(fmt.Sprintf("%s-%s-%d", group.Name, dc.Name, number))
	n, err := d.newNode(id, platform.RoleAgent, dc)
	if err != nil {
		return err
	}
	n.spec.Instance.Group = group.Name
	address, err := d.serve(d.newBackendHandler(id, group, sharedChunks))
	if err != nil {
		return err
	}
	n.backend = measure.Backend{ID: id, DataCentre: dc.Name, Kind: group.Kind, URL: "http://" + address}
	if err := d.openSourcePorts(n); err != nil {
		return err
	}
	d.agents = append(d.agents, n)
	d.Backends.All = append(d.Backends.All, n.backend)
	return nil
}

// openSourcePorts opens the ports by which an agent reaches the origin and the
// weight store over the link of its instance.
func (d *Deployment) openSourcePorts(n *node) error {
	if n.backend.Kind == tables.PoolService {
		return nil
	}
	originAddress, err := d.Network.ProxyTCP(n.spec.Instance.ID, d.originAddress)
	if err != nil {
		return err
	}
	weightStoreAddress, err := d.Network.ProxyTCP(n.spec.Instance.ID, d.weightStoreAddress)
	if err != nil {
		return err
	}
	n.originURL = "http://" + originAddress
	n.weightStoreURL = "http://" + weightStoreAddress
	return nil
}

func (d *Deployment) newBackendHandler(id core.InstanceID, group Group, sharedChunks *engine.SharedChunks) http.Handler {
	if group.Kind == tables.PoolService {
		return service.New(service.Config{
			Name:               string(id),
			Delay:              d.Layout.ServiceDelay,
			WarmUp:             d.Layout.WarmUp,
			ColdLimit:          group.ColdLimit,
			WarmLimit:          group.WarmLimit,
			DataCentreOutGrace: d.Layout.OutGrace,
		})
	}
	return engine.New(engine.Config{
		Name:               string(id),
		TokenDelay:         d.Layout.TokenDelay,
		WarmUp:             d.Layout.WarmUp,
		ColdLimit:          group.ColdLimit,
		WarmLimit:          group.WarmLimit,
		DataCentreOutGrace: d.Layout.OutGrace,
		CheckFence:         true,
		SharedChunks:       sharedChunks,
	})
}

// Start starts all daemons and applies the initial edit.
func (d *Deployment) Start(ctx context.Context) error {
	if err := d.startDaemons(ctx, d.entries); err != nil {
		return err
	}
	if err := d.startDaemons(ctx, d.agents); err != nil {
		return err
	}
	if err := d.waitUntilEntriesAnswer(ctx); err != nil {
		return err
	}
	_, err := d.ApplyEdit(ctx, d.Layout.initialEdit())
	return err
}

func (d *Deployment) startDaemons(ctx context.Context, nodes []*node) error {
	var group errgroup.Group
	group.SetLimit(maxParallelStarts)
	for _, n := range nodes {
		group.Go(func() error { return d.startDaemon(ctx, n) })
	}
	return group.Wait()
}

func (d *Deployment) startDaemon(ctx context.Context, n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	var err error
	if n.spec.Instance.Role == platform.RoleEntry {
		n.daemon, err = d.hooks.StartEntry(ctx, EntrySpec{DaemonSpec: n.spec, OperatorToken: operatorToken})
	} else {
		n.daemon, err = d.hooks.StartAgent(ctx, AgentSpec{
			DaemonSpec:     n.spec,
			BackendURL:     n.backend.URL,
			Kind:           n.backend.Kind,
			OriginURL:      n.originURL,
			WeightStoreURL: n.weightStoreURL,
		})
	}
	if err != nil {
		return fmt.Errorf("start %s: %w", n.spec.Instance.ID, err)
	}
	return nil
}

// stopDaemon stops the daemon of a node, either gracefully or by killing it.
func (n *node) stopDaemon(ctx context.Context, graceful bool) error {
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

// Close kills the daemons and closes the stand-ins and links.
func (d *Deployment) Close(ctx context.Context) {
	var group errgroup.Group
	for _, n := range append(append([]*node(nil), d.agents...), d.entries...) {
		group.Go(func() error { return n.stopDaemon(ctx, false) })
	}
	_ = group.Wait()
	for _, server := range d.servers {
		_ = server.Close()
	}
	d.Network.Close()
	d.client.CloseIdleConnections()
}

var errUnknownInstance = errors.New("fleet: unknown instance")

// ErrReplacing means that the daemon of an instance is already being replaced.
var ErrReplacing = errors.New("fleet: daemon of instance is already being replaced")

func (d *Deployment) findNode(id core.InstanceID) (*node, error) {
	for _, n := range append(append([]*node(nil), d.agents...), d.entries...) {
		if n.spec.Instance.ID == id {
			return n, nil
		}
	}
	return nil, fmt.Errorf("%w: %s", errUnknownInstance, id)
}

// Restart stops one daemon, gracefully or by killing it, and starts a new one
// after the delay.
func (d *Deployment) Restart(ctx context.Context, id core.InstanceID, graceful bool, delay time.Duration) error {
	n, err := d.findNode(id)
	if err != nil {
		return err
	}
	if !n.replaceMu.TryLock() {
		return fmt.Errorf("%w: %s", ErrReplacing, id)
	}
	defer n.replaceMu.Unlock()
	if err := n.stopDaemon(ctx, graceful); err != nil {
		return err
	}
	if err := sleep(ctx, delay); err != nil {
		return err
	}
	return d.startDaemon(ctx, n)
}

// EntryAddresses returns the HTTP addresses of all entries.
func (d *Deployment) EntryAddresses() []string {
	addresses := make([]string, 0, len(d.entries))
	for _, n := range d.entries {
		addresses = append(addresses, n.spec.Instance.HTTPAddr)
	}
	return addresses
}

// EntryIDs returns the instances of the entries in a fixed order.
func (d *Deployment) EntryIDs() []core.InstanceID { return instanceIDs(d.entries) }

// AgentIDs returns the instances of the agents in a fixed order.
func (d *Deployment) AgentIDs() []core.InstanceID { return instanceIDs(d.agents) }

func instanceIDs(nodes []*node) []core.InstanceID {
	ids := make([]core.InstanceID, 0, len(nodes))
	for _, n := range nodes {
		ids = append(ids, n.spec.Instance.ID)
	}
	return ids
}
