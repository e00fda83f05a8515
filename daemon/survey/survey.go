// Package survey reads the state of a deployment on the operators' platform from the
// store. Operators' tools can reach nothing else there.
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

// Survey is the state of a deployment according to the store.
type Survey struct {
	// View holds the configuration, the backend servers, the data centres that
	// are out of service and the newest weights versions.
	View *watch.View
	// Unreadable holds the key of each ignored row and the reason.
	Unreadable []string
	// Entries and Agents are the daemons with a row, which they write when they
	// start. They include daemons whose instances were lost.
	Entries []gossip.Member
	Agents  []staging.Agent
}

// Read reads the state of a deployment. The tables are read one after the other,
// not at one revision.
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

// Rollout is the progress of the newest weights version of a model at a service.
type Rollout struct {
	Service fleet.ServiceName
	Model   fleet.Model
	// NewestVersion is the newest version that operators set, 0 if there is none.
	NewestVersion fleet.WeightsVersion
	// Servers counts the engines by loaded version; 0 means that the model is not
	// loaded.
	Servers map[fleet.WeightsVersion]int
	// Outdated holds the engines that have not loaded the newest version.
	Outdated []*watch.Server
}

// Rollouts returns the rollout of each model at each service.
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
	r := Rollout{Service: service, Model: model, NewestVersion: s.View.NewestTarget(model).Version, Servers: map[fleet.WeightsVersion]int{}}
	for _, server := range s.View.Servers[service] {
		version := server.Weights[model]
		r.Servers[version]++
		if version == 0 || version < r.NewestVersion {
			r.Outdated = append(r.Outdated, server)
		}
	}
	return r
}
