// Package survey reads the state of a deployment on the operators' platform from
// its store, which is all that an operator's tool can reach there.
package survey

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core/fleet"
	"currantusher.dev/daemon/roster"
	"currantusher.dev/members/gossip"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/tables/watch"
	"currantusher.dev/weights/staging"
)

// Survey is what the store holds at one moment.
type Survey struct {
	// View holds the configuration, the backend servers, the data centres that
	// are out and the named weights.
	View *watch.View
	// Unreadable names the rows that are ignored, and why.
	Unreadable []string
	// Entries and Agents wrote a row when they started. Those whose instances
	// were lost are still among them.
	Entries []gossip.Member
	Agents  []staging.Agent
}

// Read reads a deployment's state.
func Read(ctx context.Context, store *rowstore.Client, log *logrus.Entry) (*Survey, error) {
	state := watch.NewState()
	for _, table := range []string{watch.OperatorTable, watch.ServersTable} {
		page, err := store.ReadAll(ctx, table)
		if err != nil {
			return nil, err
		}
		state.Replace(time.Now(), table, page)
	}
	s := &Survey{View: state.View()}
	for _, event := range state.TakeEvents() {
		if event.Ignored {
			s.Unreadable = append(s.Unreadable, event.Key+": "+event.Detail)
		}
	}
	var err error
	if s.Entries, err = roster.New[gossip.Member](store, roster.EntriesTable, log).Read(ctx); err != nil {
		return nil, err
	}
	if s.Agents, err = roster.New[staging.Agent](store, roster.AgentsTable, log).Read(ctx); err != nil {
		return nil, err
	}
	return s, nil
}

// Rollout is how far the newest version of a model has come.
type Rollout struct {
	Service fleet.ServiceName
	Model   fleet.Model
	// NewestVersion is the newest version that operators named, 0 for none.
	NewestVersion fleet.WeightsVersion
	// Servers counts the engines by the version that they list; 0 is none.
	Servers map[fleet.WeightsVersion]int
	// Outdated are the engines without the named version.
	Outdated []*watch.Server
}

// Rollouts returns the state of each model's weights.
func (s *Survey) Rollouts() []Rollout {
	var list []Rollout
	if s.View.Table == nil {
		return nil
	}
	for _, service := range s.View.Table.Config.Services {
		if service.Engine == nil {
			continue
		}
		for _, model := range service.Engine.Models {
			list = append(list, s.rollout(service.Name, model))
		}
	}
	return list
}

func (s *Survey) rollout(service fleet.ServiceName, model fleet.Model) Rollout {
	r := Rollout{Service: service, Model: model, NewestVersion: s.View.Newest(model).Version, Servers: map[fleet.WeightsVersion]int{}}
	for _, server := range s.View.Servers[service] {
		version := server.Weights[model]
		r.Servers[version]++
		if version == 0 || version < r.NewestVersion {
			r.Outdated = append(r.Outdated, server)
		}
	}
	return r
}
