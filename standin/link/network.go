// Package link stands in for the network between instances. A Network puts a
// UDP port before each daemon and a TCP port before each call to the platform;
// it counts the bytes of each machine's link, limits rates and cuts or stalls
// pairs of data centres.
package link

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"currantusher.dev/core"
)

// burstBytes is what a limited link passes at once.
const burstBytes = 256 << 10

// Config describes the paths between machines.
type Config struct {
	// RegionBytesPerSecond limits each direction between two regions; 0 sets no
	// limit.
	RegionBytesPerSecond float64
	// DataCentreDelay and RegionDelay are the one-way times between machines of
	// two data centres, in one region and in two.
	DataCentreDelay time.Duration
	RegionDelay     time.Duration
}

// Instance describes one instance's link.
type Instance struct {
	ID         core.InstanceID
	DataCentre core.DataCentre
	Region     core.Region
	// BytesPerSecond limits each direction; 0 sets no limit.
	BytesPerSecond float64
}

// LinkBytes is what passed over one machine's link, in bytes.
type LinkBytes struct {
	Received int64
	Sent     int64
}

// machine is the state of one link. sent and received bytes are guarded by the
// Network.
type machine struct {
	Instance
	counts LinkBytes
	up     *rate.Limiter
	down   *rate.Limiter
}

type pair struct{ a, b core.DataCentre }

type regionPath struct{ from, to core.Region }

func pairOf(a, b core.DataCentre) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// Network connects machines over loopback.
type Network struct {
	cfg Config

	mu       sync.Mutex
	machines map[core.InstanceID]*machine
	bySocket map[string]core.InstanceID
	cut      map[pair]bool
	isolated map[core.InstanceID]bool
	regions  map[regionPath]*rate.Limiter
	crossed  int64

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewNetwork returns a network without machines.
func NewNetwork(cfg Config) *Network {
	n := &Network{
		cfg:      cfg,
		machines: make(map[core.InstanceID]*machine),
		bySocket: make(map[string]core.InstanceID),
		cut:      make(map[pair]bool),
		isolated: make(map[core.InstanceID]bool),
		regions:  make(map[regionPath]*rate.Limiter),
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

// Close ends all forwarding.
func (n *Network) Close() {
	n.cancel()
	n.wg.Wait()
}

// AddInstance makes a machine known; adding it again keeps its counts.
func (n *Network) AddInstance(m Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, known := n.machines[m.ID]; known {
		return
	}
	limit := rate.Inf
	if m.BytesPerSecond > 0 {
		limit = rate.Limit(m.BytesPerSecond)
	}
	n.machines[m.ID] = &machine{
		Instance: m,
		up:       rate.NewLimiter(limit, burstBytes),
		down:     rate.NewLimiter(limit, burstBytes),
	}
}

// LinkBytes returns what passed over a machine's link.
func (n *Network) LinkBytes(id core.InstanceID) LinkBytes {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m := n.machines[id]; m != nil {
		return m.counts
	}
	return LinkBytes{}
}

// SetPartitioned cuts or mends all paths between two data centres.
func (n *Network) SetPartitioned(a, b core.DataCentre, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pairOf(a, b)] = cut
}

// SetIsolated drops all peer traffic of one machine, or passes it again.
func (n *Network) SetIsolated(id core.InstanceID, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[id] = isolated
}

// owner returns the machine whose daemon uses a UDP socket, or "".
func (n *Network) owner(socket string) core.InstanceID {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bySocket[socket]
}

// passes reports whether traffic flows between two machines. An unknown sender
// is only subject to the receiver's isolation.
func (n *Network) passes(from, to core.InstanceID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated[from] || n.isolated[to] {
		return false
	}
	a, b := n.machines[from], n.machines[to]
	if a == nil || b == nil {
		return true
	}
	return !n.cut[pairOf(a.DataCentre, b.DataCentre)]
}

// delay returns the one-way time between two machines.
func (n *Network) delay(from, to core.InstanceID) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, b := n.machines[from], n.machines[to]
	switch {
	case a == nil || b == nil || a.DataCentre == b.DataCentre:
		return 0
	case a.Region == b.Region:
		return n.cfg.DataCentreDelay
	default:
		return n.cfg.RegionDelay
	}
}

// move counts size bytes on both machines' links and waits for the rates of
// the path. It reports whether the bytes arrive.
func (n *Network) move(from, to core.InstanceID, size int) bool {
	if !n.passes(from, to) {
		return false
	}
	for _, limiter := range n.count(from, to, size) {
		if limiter.WaitN(n.ctx, size) != nil {
			return false
		}
	}
	return true
}

// count adds size bytes to the counters and returns the limiters of the path.
func (n *Network) count(from, to core.InstanceID, size int) []*rate.Limiter {
	n.mu.Lock()
	defer n.mu.Unlock()
	limiters := make([]*rate.Limiter, 0, 3)
	a, b := n.machines[from], n.machines[to]
	if a != nil {
		a.counts.Sent += int64(size)
		limiters = append(limiters, a.up)
	}
	if b != nil {
		b.counts.Received += int64(size)
		limiters = append(limiters, b.down)
	}
	if a != nil && b != nil && a.Region != b.Region {
		n.crossed += int64(size)
		limiters = append(limiters, n.regionLimiter(a.Region, b.Region))
	}
	return limiters
}

func (n *Network) regionLimiter(from, to core.Region) *rate.Limiter {
	path := regionPath{from, to}
	if limiter := n.regions[path]; limiter != nil {
		return limiter
	}
	limit := rate.Inf
	if n.cfg.RegionBytesPerSecond > 0 {
		limit = rate.Limit(n.cfg.RegionBytesPerSecond)
	}
	limiter := rate.NewLimiter(limit, burstBytes)
	n.regions[path] = limiter
	return limiter
}

// InterRegionBytes returns the bytes that passed between regions.
func (n *Network) InterRegionBytes() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.crossed
}
