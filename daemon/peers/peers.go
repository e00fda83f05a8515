// Package peers derives the peers for configuration distribution and weight
// distribution from the membership and the configuration.
package peers

import (
	"encoding/binary"
	"sort"

	"github.com/zeebo/blake3"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/tables"
	"currantusher.dev/tables/spread"
)

// Neighbours converts instances to the peers of configuration distribution. It
// takes their regions from current; if current is nil, the regions are "".
func Neighbours(instances []platform.Instance, current *tables.Config) []spread.Neighbour {
	result := make([]spread.Neighbour, 0, len(instances))
	for _, instance := range instances {
		result = append(result, spread.Neighbour{
			ID:         instance.ID,
			Role:       instance.Role,
			DataCentre: instance.DataCentre,
			Region:     RegionOf(current, instance.DataCentre),
			Addr:       instance.PeerAddr,
		})
	}
	return result
}

// RegionOf returns the region of a data centre, or "" if current is nil or has no
// such data centre.
func RegionOf(current *tables.Config, dataCentre core.DataCentre) core.Region {
	if current == nil {
		return ""
	}
	row, _ := current.DataCentre(dataCentre)
	return row.Region
}

// RankedEntryAddrs returns the peer addresses of the live entries, ordered by
// rendezvous hashing of topic and instance, highest score first. All daemons with
// the same list of entries get the same order.
func RankedEntryAddrs(entries []platform.Instance, topic []byte) []string {
	type scoredEntry struct {
		addr  string
		score uint64
	}
	ranked := make([]scoredEntry, 0, len(entries))
	for _, entry := range entries {
		if entry.State != platform.InstanceLive {
			continue
		}
		ranked = append(ranked, scoredEntry{addr: entry.PeerAddr, score: rendezvousScore(entry.ID, topic)})
	}
	sort.Slice(ranked, func(i, j int) bool { return ranked[i].score > ranked[j].score })
	addrs := make([]string, 0, len(ranked))
	for _, entry := range ranked {
		addrs = append(addrs, entry.addr)
	}
	return addrs
}

func rendezvousScore(id core.InstanceID, topic []byte) uint64 {
	hash := blake3.New()
	_, _ = hash.Write(topic)
	_, _ = hash.WriteString(string(id))
	return binary.BigEndian.Uint64(hash.Sum(nil))
}
