package gossip

import (
	"maps"
	"slices"
	"time"

	"currantusher.dev/core"
)

const (
	// fanout bounds the peers that loads are sent to in a round. A deployment with
	// more other entries is large: there, only active members send loads, and only
	// to each other, and signs of life are relayed.
	fanout = 16
	// standbyRounds is the number of rounds between two messages of a standby
	// member of a large deployment.
	standbyRounds = 2
	// localFanout and remoteFanout are the numbers of members of this data centre
	// and of others that signs of life are sent to. With three, a sign of life
	// reaches 50 members of a data centre within about six rounds.
	localFanout  = 3
	remoteFanout = 1
	// relayedWithinFanout and relayedBeyondFanout bound the number of other
	// members that a message describes in full, in small and large deployments.
	relayedWithinFanout = 1
	relayedBeyondFanout = 3
	// newMemberPeriod is the time for which the description of a new member is
	// relayed in preference to others.
	newMemberPeriod = 3 * time.Second
	// introductionPeriod is the time for which messages are sent to any member whose
	// description was read from the store.
	introductionPeriod = 10 * time.Second
	// maxDescriptionRequests bounds the members that are asked for descriptions in
	// a round, and maxRequestedDescriptions the descriptions in a response.
	maxDescriptionRequests   = 2
	maxRequestedDescriptions = 16
	// silentAddrsPerRound bounds the addresses without an alive member that a
	// round sends to, and silentAddrsAtStart those in the first startRounds rounds.
	silentAddrsPerRound = 2
	silentAddrsAtStart  = 6
	startRounds         = 8
)

// NextRound starts a round and returns its messages.
func (s *State) NextRound(now time.Time, revisions map[string]uint64, loads map[core.InstanceID]int) []Outgoing {
	s.round++
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	s.removeSilentPeers(now)
	s.self.Revisions = revisions
	alive := s.alivePeers(now)
	s.random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	if !s.IsLarge() {
		message := Message{From: s.nextSelf(), Loads: loads, Relayed: s.descriptions(now, alive, relayedWithinFanout)}
		return []Outgoing{{Message: message, Addrs: append(addrsOf(alive, fanout), s.silentAddrs(now, alive)...)}}
	}
	var round []Outgoing
	if s.self.Active || len(loads) > 0 {
		round = append(round, s.loadsMessage(alive, loads))
	}
	if s.self.Active || s.changed || s.round%standbyRounds == 0 {
		round = append(round, s.membershipMessage(now, alive))
	}
	s.changed = false
	return append(round, s.descriptionExchanges()...)
}

// descriptionExchanges returns requests for the descriptions of unknown members, and
// the responses to such requests of other members.
func (s *State) descriptionExchanges() []Outgoing {
	var list []Outgoing
	for _, addr := range slices.Sorted(maps.Keys(s.wanted)) {
		keys := slices.DeleteFunc(s.wanted[addr], func(key uint32) bool { return s.peersByKey[key] != nil })
		keys = keys[:min(maxRequestedDescriptions, len(keys))]
		if len(keys) > 0 && len(list) < maxDescriptionRequests {
			list = append(list, Outgoing{Message: Message{From: s.nextSelf(), OmitsLoads: true, Wanted: keys}, Addrs: []string{addr}})
		}
	}
	for _, addr := range slices.Sorted(maps.Keys(s.requested)) {
		keys, message := s.requested[addr], Message{From: s.nextSelf(), OmitsLoads: true}
		for _, key := range keys[:min(maxRequestedDescriptions, len(keys))] {
			if p := s.peersByKey[key]; p != nil {
				message.Relayed = append(message.Relayed, p.member)
			}
		}
		list = append(list, Outgoing{Message: message, Addrs: []string{addr}})
	}
	clear(s.wanted)
	clear(s.requested)
	return list
}

// nextSelf returns the description of this entry for a new message.
func (s *State) nextSelf() Member {
	s.self.Sequence++
	return s.self
}

// loadsMessage returns the message with this entry's loads for the active members.
func (s *State) loadsMessage(alive []*peer, loads map[core.InstanceID]int) Outgoing {
	active := filter(alive, func(p *peer) bool { return p.member.Active })
	return Outgoing{Message: Message{From: s.nextSelf(), Loads: loads}, Addrs: addrsOf(active, fanout), IsLoadsOnly: true}
}

// membershipMessage returns the message that spreads signs of life: those of all
// members of this data centre and of the active ones of the others.
func (s *State) membershipMessage(now time.Time, alive []*peer) Outgoing {
	local := filter(alive, s.isLocal)
	remote := filter(alive, func(p *peer) bool { return !s.isLocal(p) })
	message := Message{From: s.nextSelf(), OmitsLoads: true, Relayed: s.descriptions(now, alive, relayedBeyondFanout)}
	for _, p := range alive {
		if s.isLocal(p) || p.member.Active {
			message.Heartbeats = append(message.Heartbeats, Heartbeat{
				Key: p.key, Sequence: p.sequence, Phase: p.member.Phase, Active: p.member.Active,
			})
		}
	}
	addrs := append(addrsOf(local, localFanout), addrsOf(remote, remoteFanout)...)
	return Outgoing{Message: message, Addrs: append(addrs, s.silentAddrs(now, alive)...)}
}

// isLocal reports whether a peer is in this entry's data centre.
func (s *State) isLocal(p *peer) bool { return p.member.DataCentre == s.self.DataCentre }

// descriptions returns up to limit descriptions of alive members, new members
// first.
func (s *State) descriptions(now time.Time, alive []*peer, limit int) []Member {
	isNew := func(p *peer) bool { return now.Sub(p.learnedAt) < newMemberPeriod }
	ordered := append(filter(alive, isNew), filter(alive, func(p *peer) bool { return !isNew(p) })...)
	var list []Member
	for _, p := range ordered[:min(limit, len(ordered))] {
		list = append(list, p.member)
	}
	return list
}

// silentAddrs returns some random addresses without an alive member. In a large deployment
// it omits standby members of other data centres, whose signs of life are not relayed to
// this entry.
func (s *State) silentAddrs(now time.Time, alive []*peer) []string {
	silentByAddr := map[string]bool{}
	for addr := range s.discoveredAt {
		silentByAddr[addr] = true
	}
	knowsRemote := slices.ContainsFunc(alive, func(p *peer) bool { return !s.isLocal(p) })
	for _, p := range s.peers {
		isIntroduced := p.heardAt.IsZero() && now.Sub(p.learnedAt) < introductionPeriod
		isExpected := !s.IsLarge() || s.isLocal(p) || p.member.Active || isIntroduced || !knowsRemote
		silentByAddr[p.member.PeerAddr] = isExpected && !s.isAlive(now, p)
	}
	var addrs []string
	for addr, silent := range silentByAddr {
		if silent {
			addrs = append(addrs, addr)
		}
	}
	slices.Sort(addrs)
	s.random.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	limit := silentAddrsPerRound
	if s.round <= startRounds {
		limit = silentAddrsAtStart
	}
	return addrs[:min(limit, len(addrs))]
}

func filter(peers []*peer, keep func(*peer) bool) []*peer {
	var list []*peer
	for _, p := range peers {
		if keep(p) {
			list = append(list, p)
		}
	}
	return list
}

func addrsOf(peers []*peer, limit int) []string {
	var addrs []string
	for _, p := range peers[:min(limit, len(peers))] {
		addrs = append(addrs, p.member.PeerAddr)
	}
	return addrs
}
