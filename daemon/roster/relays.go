package roster

import (
	"currantusher.dev/core"
	"currantusher.dev/members/gossip"
	"currantusher.dev/tables/relay"
)

// Relays returns the entries through which the daemons of a data centre read the
// store. It returns none if all daemons read the store themselves.
func Relays(entries []gossip.Member, centre core.DataCentre) []relay.Member {
	members := make([]relay.Member, 0, len(entries))
	for _, entry := range entries {
		members = append(members, relay.Member{ID: entry.ID, DataCentre: entry.DataCentre, Addr: entry.PeerAddr})
	}
	return relay.Relays(members, centre)
}
