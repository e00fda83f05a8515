package load

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"currantusher.dev/api/oas"
	"currantusher.dev/core"
)

const (
	lookupTimeout = 2 * time.Second
	minTTL        = time.Second
	// avoidFor is how long an address that broke a connection is used last.
	avoidFor = 2 * time.Second
)

// directory keeps the entries' addresses for callers of one data centre for as
// long as the answer says.
type directory struct {
	client     *http.Client
	dataCentre core.DataCentre
	seeds      []string

	mu        sync.Mutex
	addresses []string
	expires   time.Time
	avoided   map[string]time.Time
	asking    chan struct{}
}

func newDirectory(client *http.Client, dataCentre core.DataCentre, seeds []string) *directory {
	return &directory{
		client:     client,
		dataCentre: dataCentre,
		seeds:      seeds,
		avoided:    make(map[string]time.Time),
	}
}

// pick returns the best address for the given attempt: the first, or a later
// one for retries. Addresses that lately failed come last.
func (d *directory) pick(ctx context.Context, attempt int) string {
	d.refresh(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	candidates := d.addresses
	if len(candidates) == 0 {
		candidates = d.seeds
	}
	usable := make([]string, 0, len(candidates))
	var avoided []string
	for _, address := range candidates {
		if now.Before(d.avoided[address]) {
			avoided = append(avoided, address)
		} else {
			usable = append(usable, address)
		}
	}
	usable = append(usable, avoided...)
	return usable[attempt%len(usable)]
}

// avoid puts an address last for a while.
func (d *directory) avoid(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoided[address] = time.Now().Add(avoidFor)
}

// refresh asks again when the answer has expired; one caller asks and the
// others wait for it.
func (d *directory) refresh(ctx context.Context) {
	d.mu.Lock()
	if time.Now().Before(d.expires) {
		d.mu.Unlock()
		return
	}
	if d.asking != nil {
		asking := d.asking
		d.mu.Unlock()
		select {
		case <-asking:
		case <-ctx.Done():
		}
		return
	}
	d.asking = make(chan struct{})
	sources := append(append([]string(nil), d.addresses...), d.seeds...)
	d.mu.Unlock()

	addresses, ttl := d.lookup(ctx, sources)

	d.mu.Lock()
	defer d.mu.Unlock()
	if len(addresses) > 0 {
		d.addresses = addresses
	}
	d.expires = time.Now().Add(max(ttl, minTTL))
	close(d.asking)
	d.asking = nil
}

func (d *directory) lookup(ctx context.Context, sources []string) ([]string, time.Duration) {
	for _, source := range sources {
		list, err := d.ask(ctx, source)
		if err != nil || len(list.Entries) == 0 {
			continue
		}
		addresses := make([]string, 0, len(list.Entries))
		for _, entry := range list.Entries {
			addresses = append(addresses, entry.Address)
		}
		return addresses, time.Duration(list.TTLSeconds) * time.Second
	}
	return nil, 0
}

func (d *directory) ask(ctx context.Context, source string) (*oas.EntryList, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	client, err := oas.NewClient(baseURL(source), noToken{}, oas.WithClient(d.client))
	if err != nil {
		return nil, err
	}
	return client.ListEntries(ctx, oas.ListEntriesParams{DataCentre: oas.NewOptString(string(d.dataCentre))})
}

// noToken is the security source of callers, who need none.
type noToken struct{}

// Operator implements oas.SecuritySource.
func (noToken) Operator(context.Context, oas.OperationName) (oas.Operator, error) {
	return oas.Operator{}, nil
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return address
	}
	return "http://" + address
}
