package store

import (
	"context"
	"sort"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// maxAnnouncements bounds the announcements that are kept of one instance.
const maxAnnouncements = 256

// Instances implements platform.InstanceList. It returns the list as it was one lag
// ago.
func (m *Memory) Instances(context.Context) ([]platform.Instance, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down || m.faults.ListDown {
		return nil, core.NewRefusal(core.CodeStoreUnavailable, 0, "list down")
	}
	shownAt := m.config.Now().Add(-m.listLag())
	var instances []platform.Instance
	for id, history := range m.announcements {
		last, ok := latestAt(history, shownAt)
		if !ok {
			continue
		}
		if shownAt.Sub(last.at) > m.config.ListRetention {
			m.removeExpired(id, shownAt)
			continue
		}
		instances = append(instances, last.instance)
	}
	sort.Slice(instances, func(i, j int) bool { return instances[i].ID < instances[j].ID })
	return instances, nil
}

// Announce implements platform.InstanceList.
func (m *Memory) Announce(_ context.Context, instance platform.Instance) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down || m.faults.ListDown {
		return core.NewRefusal(core.CodeStoreUnavailable, 0, "list down")
	}
	history := append(m.announcements[instance.ID], announcement{instance: instance, at: m.config.Now()})
	if len(history) > maxAnnouncements {
		history = history[len(history)-maxAnnouncements:]
	}
	m.announcements[instance.ID] = history
	return nil
}

func (m *Memory) listLag() time.Duration {
	if m.faults.ListLagMillis > 0 {
		return time.Duration(m.faults.ListLagMillis) * time.Millisecond
	}
	return m.config.ListLag
}

// removeExpired removes an instance whose newest announcement is older than
// ListRetention at shownAt.
func (m *Memory) removeExpired(id core.InstanceID, shownAt time.Time) {
	history := m.announcements[id]
	newest := history[len(history)-1]
	if shownAt.Sub(newest.at) > m.config.ListRetention {
		delete(m.announcements, id)
	}
}

// latestAt returns the newest announcement at shownAt.
func latestAt(history []announcement, shownAt time.Time) (announcement, bool) {
	for i := len(history) - 1; i >= 0; i-- {
		if !history[i].at.After(shownAt) {
			return history[i], true
		}
	}
	return announcement{}, false
}
