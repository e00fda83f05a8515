// Package link is a stand-in for the network between instances. A Network runs a UDP
// proxy in front of each daemon and TCP proxies in front of the platform's servers.
// It counts the bytes of each instance's link, limits rates, adds delays and
// partitions pairs of data centres.
package link

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"currantusher.dev/core"
)

// limiterBurstBytes is the burst of the rate limiters of links and region paths.
const limiterBurstBytes = 256 << 10

// Config describes the paths between instances.
type Config struct {
	// RegionBytesPerSecond limits each direction between two regions; 0 means no
	// limit.
	RegionBytesPerSecond float64
	// DataCentreDelay is the one-way delay between two data centres of a region,
	// RegionDelay that between two regions.
	DataCentreDelay time.Duration
	RegionDelay     time.Duration
}

// Instance describes an instance and its link.
type Instance struct {
	ID         core.InstanceID
	DataCentre core.DataCentre
	Region     core.Region
	// BytesPerSecond limits each direction of the link; 0 means no limit.
	BytesPerSecond float64
}

// LinkBytes is the number of bytes that passed over the link of one instance.
type LinkBytes struct {
	Received int64
	Sent     int64
}

// instanceLink is the state of the link of one instance. Network.mu guards bytes.
type instanceLink struct {
	Instance
	bytes    LinkBytes
	uplink   *rate.Limiter
	downlink *rate.Limiter
}

type dataCentrePair struct{ a, b core.DataCentre }

type regionPath struct{ from, to core.Region }

// orderedPair returns the same pair for both orders of the data centres.
func orderedPair(a, b core.DataCentre) dataCentrePair {
	if a > b {
		a, b = b, a
	}
	return dataCentrePair{a, b}
}

// Network connects instances over loopback. It is safe for concurrent use.
type Network struct {
	cfg Config

	mu               sync.Mutex
	links            map[core.InstanceID]*instanceLink
	instanceBySocket map[string]core.InstanceID
	partitioned      map[dataCentrePair]bool
	isolated         map[core.InstanceID]bool
	regionLimiters   map[regionPath]*rate.Limiter
	interRegionBytes int64

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewNetwork returns a network without instances.
func NewNetwork(cfg Config) *Network {
	n := &Network{
		cfg:              cfg,
		links:            make(map[core.InstanceID]*instanceLink),
		instanceBySocket: make(map[string]core.InstanceID),
		partitioned:      make(map[dataCentrePair]bool),
		isolated:         make(map[core.InstanceID]bool),
		regionLimiters:   make(map[regionPath]*rate.Limiter),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// Close stops all proxies.
func (n *Network) Close() {
	n.cancel()
	n.wg.Wait()
}

// AddInstance adds an instance. It has no effect if the instance was added before.
func (n *Network) AddInstance(instance Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, found := n.links[instance.ID]; found {
		return
	}
	limit := rate.Inf
	if instance.BytesPerSecond > 0 {
		limit = rate.Limit(instance.BytesPerSecond)
	}
	n.links[instance.ID] = &instanceLink{
		Instance: instance,
		uplink:   rate.NewLimiter(limit, limiterBurstBytes),
		downlink: rate.NewLimiter(limit, limiterBurstBytes),
	}
}

// LinkBytes returns the bytes that passed over the link of an instance.
func (n *Network) LinkBytes(id core.InstanceID) LinkBytes {
	n.mu.Lock()
	defer n.mu.Unlock()
	if link := n.links[id]; link != nil {
		return link.bytes
	}
	return LinkBytes{}
}

// SetPartitioned blocks or restores the traffic between two data centres in both
// directions.
func (n *Network) SetPartitioned(a, b core.DataCentre, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[orderedPair(a, b)] = partitioned
}

// SetIsolated blocks or restores all traffic of one instance.
func (n *Network) SetIsolated(id core.InstanceID, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[id] = isolated
}

// instanceAt returns the instance whose daemon uses the UDP socket, or "".
func (n *Network) instanceAt(socket string) core.InstanceID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.instanceBySocket[socket]
}

// connected reports whether traffic passes between two instances. Partitions do not
// apply to an unknown instance, but the isolation of the other instance does.
func (n *Network) connected(from, to core.InstanceID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated[from] || n.isolated[to] {
		return false
	}
	a, b := n.links[from], n.links[to]
	if a == nil || b == nil {
		return true
	}
	return !n.partitioned[orderedPair(a.DataCentre, b.DataCentre)]
}

// delay returns the one-way delay between two instances.
func (n *Network) delay(from, to core.InstanceID) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, b := n.links[from], n.links[to]
	switch {
	case a == nil || b == nil || a.DataCentre == b.DataCentre:
		return 0
	case a.Region == b.Region:
		return n.cfg.DataCentreDelay
	default:
		return n.cfg.RegionDelay
	}
}

// transfer counts size bytes on both links and waits for the rate limits of the
// path. It reports whether the bytes arrive.
func (n *Network) transfer(from, to core.InstanceID, size int) bool {
	if !n.connected(from, to) {
		return false
	}
	for _, limiter := range n.recordTransfer(from, to, size) {
		if limiter.WaitN(n.ctx, size) != nil {
			return false
		}
	}
	return true
}

// recordTransfer adds size bytes to the counters and returns the rate limiters of
// the path.
func (n *Network) recordTransfer(from, to core.InstanceID, size int) []*rate.Limiter {
	n.mu.Lock()
	defer n.mu.Unlock()
	limiters := make([]*rate.Limiter, 0, 3)
	a, b := n.links[from], n.links[to]
	if a != nil {
		a.bytes.Sent += int64(size)
		limiters = append(limiters, a.uplink)
	}
	if b != nil {
		b.bytes.Received += int64(size)
		limiters = append(limiters, b.downlink)
	}
	if a != nil && b != nil && a.Region != b.Region {
		n.interRegionBytes += int64(size)
		limiters = append(limiters, n.regionLimiter(a.Region, b.Region))
	}
	return limiters
}

func (n *Network) regionLimiter(from, to core.Region) *rate.Limiter {
	path := regionPath{from, to}
	if limiter := n.regionLimiters[path]; limiter != nil {
		return limiter
	}
	limit := rate.Inf
	if n.cfg.RegionBytesPerSecond > 0 {
		limit = rate.Limit(n.cfg.RegionBytesPerSecond)
	}
	limiter := rate.NewLimiter(limit, limiterBurstBytes)
	n.regionLimiters[path] = limiter
	return limiter
}

// InterRegionBytes returns the number of bytes that passed between regions.
func (n *Network) InterRegionBytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.interRegionBytes
}
