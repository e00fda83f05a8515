package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"currantusher.dev/api/oas"
	"currantusher.dev/bench/measure"
	"currantusher.dev/core"
	"currantusher.dev/standin/link"
	"currantusher.dev/tables"
	"currantusher.dev/weights"
	"currantusher.dev/weights/source"
)

const (
	pollInterval = 25 * time.Millisecond
	editInterval = 200 * time.Millisecond
	editTimeout  = 5 * time.Second
)

// operator is the security source of the bench's own edits.
type operator struct{}

// Operator implements oas.SecuritySource.
func (operator) Operator(context.Context, oas.OperationName) (oas.Operator, error) {
	return oas.Operator{Token: operatorToken}, nil
}

// waitAnswering waits until every entry answers callers.
func (s *Site) waitAnswering(ctx context.Context) error {
	for _, address := range s.EntryAddresses() {
		for !s.answers(ctx, address) {
			if err := pause(ctx, pollInterval); err != nil {
				return fmt.Errorf("entry at %s does not answer: %w", address, err)
			}
		}
	}
	return nil
}

func (s *Site) answers(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return false
	}
	response, err := s.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// Edit sends one edit to the entries in turn, under one edit id, until one
// accepts it. Refusals that another attempt cannot change end it.
func (s *Site) Edit(ctx context.Context, edit *oas.Edit) (core.Revision, error) {
	edit.EditID = uuid.NewString()
	edit.Author = oas.NewOptString("bench")
	addresses := s.EntryAddresses()
	for attempt := 0; ; attempt++ {
		result, err := s.editAt(ctx, addresses[attempt%len(addresses)], edit)
		if err == nil {
			return core.Revision(result.Revision), nil
		}
		if final(err) {
			return 0, err
		}
		if pauseErr := pause(ctx, editInterval); pauseErr != nil {
			return 0, fmt.Errorf("edit not accepted: %w", errors.Join(err, pauseErr))
		}
	}
}

func (s *Site) editAt(ctx context.Context, address string, edit *oas.Edit) (*oas.EditResult, error) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	client, err := oas.NewClient("http://"+address, operator{}, oas.WithClient(s.client))
	if err != nil {
		return nil, err
	}
	return client.ApplyEdit(ctx, edit)
}

// final reports whether an edit was refused for what it says.
func final(err error) bool {
	var problem *oas.ProblemStatusCodeWithHeaders
	if !errors.As(err, &problem) {
		return false
	}
	switch core.Code(problem.Response.Code) {
	case core.CodeInvalidField, core.CodeUnauthorized, core.CodeDanglingJoin, core.CodeInvalidRow:
		return true
	default:
		return false
	}
}

// Version is published content.
type Version struct {
	Root core.Digest
	Size int64
}

// Publish stores a file or folder at the origin and at the weight store.
func (s *Site) Publish(ctx context.Context, path string) (Version, error) {
	if _, err := s.publishTo(ctx, s.weightsAt, path); err != nil {
		return Version{}, err
	}
	return s.publishTo(ctx, s.originAt, path)
}

func (s *Site) publishTo(ctx context.Context, address, path string) (Version, error) {
	sink, err := source.New(source.Config{URL: "http://" + address, HTTP: s.client})
	if err != nil {
		return Version{}, err
	}
	root, manifest, err := weights.Publish(ctx, path, sink, weights.PublishConfig{ChunkBytes: s.Layout.ChunkBytes})
	if err != nil {
		return Version{}, err
	}
	return Version{Root: root, Size: manifest.Size()}, nil
}

// Pin sets the version of all engine pools in one edit.
func (s *Site) Pin(ctx context.Context, version Version) error {
	edit := &oas.Edit{}
	for _, group := range s.Layout.Groups {
		if group.Kind == tables.PoolEngine {
			edit.SetPools = append(edit.SetPools, s.Layout.pool(group, version.Root))
		}
	}
	_, err := s.Edit(ctx, edit)
	return err
}

// WaitReplicas returns how many engines carry the version and when, after
// start, the last of them did.
func (s *Site) WaitReplicas(ctx context.Context, root core.Digest, start time.Time) (int, time.Duration, error) {
	for {
		carrying, engines := s.Backends.EnginesWithVersion(ctx, root)
		if carrying == engines {
			return carrying, time.Since(start), nil
		}
		if err := pause(ctx, pollInterval); err != nil {
			return carrying, time.Since(start), fmt.Errorf("%d of %d engines carry %s: %w", carrying, engines, root.Short(), err)
		}
	}
}

// SetDataCentre takes a data centre out or in and marks the time of the
// accepted edit at its stand-ins.
func (s *Site) SetDataCentre(ctx context.Context, name core.DataCentre, state tables.DataCentreState) error {
	edit := &oas.Edit{}
	for _, dc := range s.Layout.DataCentres {
		if dc.Name == name {
			edit.SetDataCentres = append(edit.SetDataCentres, oas.DataCentre{
				Name: string(dc.Name), Region: string(dc.Region), State: oas.DataCentreState(state),
			})
		}
	}
	if state == tables.DataCentreIn {
		if err := s.Backends.MarkDataCentreOut(ctx, name, time.Time{}); err != nil {
			return err
		}
	}
	if _, err := s.Edit(ctx, edit); err != nil {
		return err
	}
	if state == tables.DataCentreOut {
		return s.Backends.MarkDataCentreOut(ctx, name, time.Now())
	}
	return nil
}

// AddProbeRoute adds a route and returns how long after the accepted edit all
// entries knew it, and how many forgot it again.
func (s *Site) AddProbeRoute(ctx context.Context, name core.RouteName) (time.Duration, int, error) {
	group := s.Layout.Groups[0]
	edit := &oas.Edit{SetRoutes: []oas.RouteRow{s.Layout.route(group, name)}}
	if _, err := s.Edit(ctx, edit); err != nil {
		return 0, 0, err
	}
	prober := &measure.Prober{Client: s.client, Team: s.Layout.Teams[0]}
	return prober.WaitForRoute(ctx, s.EntryAddresses(), name, time.Now())
}

// Usage is a snapshot of the bytes on all links.
type Usage struct {
	origin   int64
	machines map[core.InstanceID]link.LinkBytes
}

// Usage reads the links of all engines' machines, and those of the origin and
// the weight store together.
func (s *Site) Usage() Usage {
	usage := Usage{origin: s.Origin.TotalSentBytes() + s.WeightStore.TotalSentBytes(), machines: make(map[core.InstanceID]link.LinkBytes)}
	for _, n := range s.agents {
		if n.backend.Kind == tables.PoolEngine {
			id := n.common.Instance.ID
			usage.machines[id] = s.Network.LinkBytes(id)
		}
	}
	return usage
}

// Copies are bytes in units of one version.
type Copies struct {
	Origin   float64
	Received float64
	Sent     float64
}

// CopiesSince returns the origin's copies and those of the busiest machine
// between two snapshots.
func (u Usage) CopiesSince(before Usage, size int64) Copies {
	copies := Copies{Origin: float64(u.origin-before.origin) / float64(size)}
	for id, counts := range u.machines {
		received := float64(counts.Received-before.machines[id].Received) / float64(size)
		sent := float64(counts.Sent-before.machines[id].Sent) / float64(size)
		if received+sent > copies.Received+copies.Sent {
			copies.Received, copies.Sent = received, sent
		}
	}
	return copies
}
