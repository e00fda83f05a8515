package store

import (
	"context"
	"sort"
	"time"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// maxAnnouncements bounds the announcements kept for one instance.
const maxAnnouncements = 256

// Instances implements platform.List. It shows the list as it was one lag ago.
func (m *Memory) Instances(context.Context) ([]platform.Instance, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down || m.faults.ListDown {
		return nil, core.NewRefusal(core.CodeStoreUnavailable, 0, "list down")
	}
	shown := m.config.Now().Add(-m.lag())
	var instances []platform.Instance
	for id, history := range m.list {
		last, ok := latest(history, shown)
		if !ok {
			continue
		}
		if shown.Sub(last.at) > m.config.ListRetention {
			m.forget(id, shown)
			continue
		}
		instances = append(instances, last.instance)
	}
	sort.Slice(instances, func(i, j int) bool { return instances[i].ID < instances[j].ID })
	return instances, nil
}

// Announce implements platform.List.
func (m *Memory) Announce(_ context.Context, instance platform.Instance) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.faults.Down || m.faults.ListDown {
		return core.NewRefusal(core.CodeStoreUnavailable, 0, "list down")
	}
	history := append(m.list[instance.ID], announcement{instance: instance, at: m.config.Now()})
	if len(history) > maxAnnouncements {
		history = history[len(history)-maxAnnouncements:]
	}
	m.list[instance.ID] = history
	return nil
}

func (m *Memory) lag() time.Duration {
	if m.faults.ListLagMillis > 0 {
		return time.Duration(m.faults.ListLagMillis) * time.Millisecond
	}
	return m.config.ListLag
}

// forget drops an instance whose newest announcement is past retention.
func (m *Memory) forget(id core.InstanceID, shown time.Time) {
	history := m.list[id]
	newest := history[len(history)-1]
	if shown.Sub(newest.at) > m.config.ListRetention {
		delete(m.list, id)
	}
}

func latest(history []announcement, shown time.Time) (announcement, bool) {
	for i := len(history) - 1; i >= 0; i-- {
		if !history[i].at.After(shown) {
			return history[i], true
		}
	}
	return announcement{}, false
}
