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
	pollInterval      = 25 * time.Millisecond
	editRetryInterval = 200 * time.Millisecond
	editTimeout       = 5 * time.Second
)

// operatorCredentials is the security source of the edits of this package.
type operatorCredentials struct{}

// Operator implements oas.SecuritySource.
func (operatorCredentials) Operator(context.Context, oas.OperationName) (oas.Operator, error) {
	return oas.Operator{Token: operatorToken}, nil
}

// waitUntilEntriesAnswer waits until every entry answers its health check.
func (d *Deployment) waitUntilEntriesAnswer(ctx context.Context) error {
	for _, address := range d.EntryAddresses() {
		for !d.isHealthy(ctx, address) {
			if err := sleep(ctx, pollInterval); err != nil {
				return fmt.Errorf("entry at %s does not answer: %w", address, err)
			}
		}
	}
	return nil
}

func (d *Deployment) isHealthy(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return false
	}
	response, err := d.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// ApplyEdit sends an edit to the entries in turn, always with the same edit ID,
// until one of them accepts it. It returns an error when an entry refuses the
// content of the edit or ctx ends.
func (d *Deployment) ApplyEdit(ctx context.Context, edit *oas.Edit) (core.Revision, error) {
	edit.EditID = uuid.NewString()
	edit.Author = oas.NewOptString("bench")
	addresses := d.EntryAddresses()
	for attempt := 0; ; attempt++ {
		result, err := d.applyEditAt(ctx, addresses[attempt%len(addresses)], edit)
		if err == nil {
			return core.Revision(result.Revision), nil
		}
		if isPermanentRefusal(err) {
			return 0, err
		}
		if sleepErr := sleep(ctx, editRetryInterval); sleepErr != nil {
			return 0, fmt.Errorf("edit not accepted by any entry: %w", errors.Join(err, sleepErr))
		}
	}
}

func (d *Deployment) applyEditAt(ctx context.Context, address string, edit *oas.Edit) (*oas.EditResult, error) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	client, err := oas.NewClient("http://"+address, operatorCredentials{}, oas.WithClient(d.client))
	if err != nil {
		return nil, err
	}
	return client.ApplyEdit(ctx, edit)
}

// isPermanentRefusal reports whether an edit was refused because of its content
// or its credentials, so that a retry cannot succeed.
func isPermanentRefusal(err error) bool {
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

// Version is a published version of weights; Size is in bytes.
type Version struct {
	Root core.Digest
	Size int64
}

// Publish stores a file or folder at the origin and at the weight store.
func (d *Deployment) Publish(ctx context.Context, path string) (Version, error) {
	if _, err := d.publishTo(ctx, d.weightStoreAddress, path); err != nil {
		return Version{}, err
	}
	return d.publishTo(ctx, d.originAddress, path)
}

func (d *Deployment) publishTo(ctx context.Context, address, path string) (Version, error) {
	sink, err := source.New(source.Config{URL: "http://" + address, HTTP: d.client})
	if err != nil {
		return Version{}, err
	}
	root, manifest, err := weights.Publish(ctx, path, sink, weights.PublishConfig{ChunkBytes: d.Layout.ChunkBytes})
	if err != nil {
		return Version{}, err
	}
	return Version{Root: root, Size: manifest.Size()}, nil
}

// SetVersion sets the version of all engine pools in one edit.
func (d *Deployment) SetVersion(ctx context.Context, version Version) error {
	edit := &oas.Edit{}
	for _, group := range d.Layout.Groups {
		if group.Kind == tables.PoolEngine {
			edit.SetPools = append(edit.SetPools, d.Layout.poolRow(group, version.Root))
		}
	}
	_, err := d.ApplyEdit(ctx, edit)
	return err
}

// WaitForVersion waits until every engine has activated the version. It returns
// the number of these engines and the time from start until the last of them.
func (d *Deployment) WaitForVersion(ctx context.Context, root core.Digest, start time.Time) (int, time.Duration, error) {
	for {
		matching, engines := d.Backends.EnginesWithVersion(ctx, root)
		if matching == engines {
			return matching, time.Since(start), nil
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return matching, time.Since(start), fmt.Errorf("%d of %d engines have activated version %s: %w", matching, engines, root.Short(), err)
		}
	}
}

// SetDataCentre sets the state of a data centre. When it is taken out, its
// stand-ins are sent the time at which the edit was accepted.
func (d *Deployment) SetDataCentre(ctx context.Context, name core.DataCentre, state tables.DataCentreState) error {
	edit := &oas.Edit{}
	for _, dc := range d.Layout.DataCentres {
		if dc.Name == name {
			edit.SetDataCentres = append(edit.SetDataCentres, oas.DataCentre{
				Name: string(dc.Name), Region: string(dc.Region), State: oas.DataCentreState(state),
			})
		}
	}
	if state == tables.DataCentreIn {
		if err := d.Backends.MarkDataCentreOut(ctx, name, time.Time{}); err != nil {
			return err
		}
	}
	if _, err := d.ApplyEdit(ctx, edit); err != nil {
		return err
	}
	if state == tables.DataCentreOut {
		return d.Backends.MarkDataCentreOut(ctx, name, time.Now())
	}
	return nil
}

// AddProbeRoute adds a route and waits until all entries have it. It returns the
// time since the edit was accepted, and the number of entries that were without
// the route again at the next probe.
func (d *Deployment) AddProbeRoute(ctx context.Context, name core.RouteName) (time.Duration, int, error) {
	group := d.Layout.Groups[0]
	edit := &oas.Edit{SetRoutes: []oas.RouteRow{d.Layout.routeRow(group, name)}}
	if _, err := d.ApplyEdit(ctx, edit); err != nil {
		return 0, 0, err
	}
	prober := &measure.Prober{Client: d.client, Team: d.Layout.Teams[0]}
	return prober.WaitForRoute(ctx, d.EntryAddresses(), name, time.Now())
}

// LinkUsage is a snapshot of the bytes transferred over the links of the engines'
// instances and sent by the origin and the weight store.
type LinkUsage struct {
	originBytes int64
	engines     map[core.InstanceID]link.LinkBytes
}

// LinkUsage reads the byte counts of the links of all engines' instances, and
// the sum of the bytes sent by the origin and the weight store.
func (d *Deployment) LinkUsage() LinkUsage {
	usage := LinkUsage{originBytes: d.Origin.TotalSentBytes() + d.WeightStore.TotalSentBytes(), engines: make(map[core.InstanceID]link.LinkBytes)}
	for _, n := range d.agents {
		if n.backend.Kind == tables.PoolEngine {
			id := n.spec.Instance.ID
			usage.engines[id] = d.Network.LinkBytes(id)
		}
	}
	return usage
}

// Copies holds byte counts as multiples of the size of one version.
type Copies struct {
	Origin   float64
	Received float64
	Sent     float64
}

// CopiesSince returns the copies sent by the origin and the weight store between
// two snapshots, and those received and sent by the busiest instance. size is
// the size of the version in bytes.
func (u LinkUsage) CopiesSince(before LinkUsage, size int64) Copies {
	copies := Copies{Origin: float64(u.originBytes-before.originBytes) / float64(size)}
	for id, counts := range u.engines {
		received := float64(counts.Received-before.engines[id].Received) / float64(size)
		sent := float64(counts.Sent-before.engines[id].Sent) / float64(size)
		if received+sent > copies.Received+copies.Sent {
			copies.Received, copies.Sent = received, sent
		}
	}
	return copies
}
