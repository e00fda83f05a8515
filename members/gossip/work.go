package gossip

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
)

const (
	// workFormat is the first byte of a WorkReport.
	workFormat = 1
	// workEntryBytes is the size of the work at one server: three bytes of its
	// fleet.WorkKey and one for each number.
	workEntryBytes = 7
	// maxWorkServers bounds the servers that a peer reports; larger reports are ignored.
	maxWorkServers = 1 << 12
	// workBytesPerSecond bounds what reports of work add to the messages that this entry
	// sends. In large deployments, the servers with most prompt tokens to read are reported.
	workBytesPerSecond = 5000
	// stepsPerOctave is the resolution of numbers of tokens: two values that follow each
	// other differ by 7%.
	stepsPerOctave = 10
	// minWorkInterval is the least time between two sums of the peers' reports.
	minWorkInterval = 50 * time.Millisecond
)

// WorkReport is the encoded work of a member's requests, for the servers with work. A nil
// report means that the work is unknown.
type WorkReport []byte

// PeerWork is the work of other entries' requests as of a time. It must not be modified.
type PeerWork struct {
	// At is when the reports were summed up, and Age their mean age then.
	At  time.Time
	Age time.Duration
	// Peers is the number of entries whose work is included.
	Peers int
	// ByKey holds the sum by fleet.WorkKey.
	ByKey map[uint32]fleet.Work
}

// encodeWork returns the report of the work by server in at most limit bytes. The servers
// with most prompt tokens to read come first.
func encodeWork(work map[core.InstanceID]fleet.Work, limit int) WorkReport {
	servers := slices.SortedFunc(maps.Keys(work), func(a, b core.InstanceID) int {
		return cmp.Or(cmp.Compare(work[b].UnreadTokens, work[a].UnreadTokens), cmp.Compare(work[b].Running, work[a].Running), cmp.Compare(a, b))
	})
	servers = servers[:min(len(servers), max(limit-1, 0)/workEntryBytes, maxWorkServers)]
	report := make(WorkReport, 1, 1+len(servers)*workEntryBytes)
	report[0] = workFormat
	for _, id := range servers {
		key, w := fleet.WorkKey(id), work[id]
		report = append(report, byte(key>>16), byte(key>>8), byte(key), byte(min(max(w.Running, 0), math.MaxUint8)),
			quantize(w.UnreadTokens), quantize(w.AnswerTokens), quantize(w.HeldTokens))
	}
	return report
}

// decode returns the work by key, or false if the report is unknown or invalid.
func (r WorkReport) decode() (map[uint32]fleet.Work, bool) {
	if len(r) == 0 || r[0] != workFormat || (len(r)-1)%workEntryBytes != 0 || (len(r)-1)/workEntryBytes > maxWorkServers {
		return nil, false
	}
	work := make(map[uint32]fleet.Work, len(r)/workEntryBytes)
	for e := r[1:]; len(e) > 0; e = e[workEntryBytes:] {
		key := uint32(e[0])<<16 | uint32(e[1])<<8 | uint32(e[2])
		work[key] = fleet.Work{Running: int(e[3]), UnreadTokens: unquantize(e[4]), AnswerTokens: unquantize(e[5]), HeldTokens: unquantize(e[6])}
	}
	return work, true
}

// quantize returns the logarithm of a number of tokens in steps. Numbers that are not
// positive become 0.
func quantize(tokens float64) byte {
	if !(tokens >= 1) {
		return 0
	}
	return byte(min(1+math.Round(stepsPerOctave*math.Log2(tokens)), math.MaxUint8))
}

func unquantize(step byte) float64 {
	if step == 0 {
		return 0
	}
	return math.Exp2(float64(step-1) / stepsPerOctave)
}

// receiveWork records the report of a peer. A report that is unknown or invalid leaves the
// previous one, which expires.
func (p *peer) receiveWork(now time.Time, report WorkReport) {
	if work, ok := report.decode(); ok {
		p.work, p.workAt = work, now
	}
}

// Work returns the sum of the alive peers' work.
func (s *State) Work(now time.Time) *PeerWork {
	sum := &PeerWork{At: now, ByKey: map[uint32]fleet.Work{}}
	age := time.Duration(0)
	for _, p := range s.peers {
		if p.workAt.IsZero() || now.Sub(p.workAt) >= AliveTimeout {
			continue
		}
		sum.Peers++
		age += max(now.Sub(p.workAt), 0)
		for key, w := range p.work {
			sum.ByKey[key] = sum.ByKey[key].Add(w)
		}
	}
	if sum.Peers > 0 {
		sum.Age = age / time.Duration(sum.Peers)
	}
	return sum
}

// workLimit returns the size of a report that is sent to a number of members each round.
func workLimit(members int) int {
	perRound := float64(workBytesPerSecond) * RoundPeriod.Seconds()
	return int(perRound) / max(members, 1)
}

// Work returns the work of other entries' requests. It includes messages that arrived since
// the last round, which Loads does not.
func (n *Node) Work() *PeerWork {
	now := n.config.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if age := now.Sub(n.workSumAt()); age >= RoundPeriod || age >= minWorkInterval && n.hasNewWork {
		n.work, n.hasNewWork = n.state.Work(now), false
	}
	return n.work
}

func (n *Node) workSumAt() time.Time {
	if n.work == nil {
		return time.Time{}
	}
	return n.work.At
}
