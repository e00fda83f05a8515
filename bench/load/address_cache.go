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
	// avoidDuration is how long an address stays last in the order after a
	// connection to it failed.
	avoidDuration = 2 * time.Second
)

// addressCache caches the addresses of entries for the callers of one data
// centre until the TTL of the last lookup expires. The seeds are used until a
// lookup succeeds.
type addressCache struct {
	client     *http.Client
	dataCentre core.DataCentre
	seeds      []string

	mu         sync.Mutex
	addresses  []string
	expires    time.Time
	avoidUntil map[string]time.Time
	lookupDone chan struct{}
}

func newAddressCache(client *http.Client, dataCentre core.DataCentre, seeds []string) *addressCache {
	return &addressCache{
		client:     client,
		dataCentre: dataCentre,
		seeds:      seeds,
		avoidUntil: make(map[string]time.Time),
	}
}

// pick returns the address for the given attempt: the first one, or a later one
// for retries. Addresses that failed recently come last.
func (c *addressCache) pick(ctx context.Context, attempt int) string {
	c.refresh(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	candidates := c.addresses
	if len(candidates) == 0 {
		candidates = c.seeds
	}
	usable := make([]string, 0, len(candidates))
	var avoided []string
	for _, address := range candidates {
		if now.Before(c.avoidUntil[address]) {
			avoided = append(avoided, address)
		} else {
			usable = append(usable, address)
		}
	}
	usable = append(usable, avoided...)
	return usable[attempt%len(usable)]
}

// avoid moves an address to the end of the order for avoidDuration.
func (c *addressCache) avoid(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[address] = time.Now().Add(avoidDuration)
}

// refresh looks up the addresses when they have expired. Concurrent calls share
// one lookup.
func (c *addressCache) refresh(ctx context.Context) {
	c.mu.Lock()
	if time.Now().Before(c.expires) {
		c.mu.Unlock()
		return
	}
	if c.lookupDone != nil {
		lookupDone := c.lookupDone
		c.mu.Unlock()
		select {
		case <-lookupDone:
		case <-ctx.Done():
		}
		return
	}
	c.lookupDone = make(chan struct{})
	entries := append(append([]string(nil), c.addresses...), c.seeds...)
	c.mu.Unlock()

	addresses, ttl := c.lookup(ctx, entries)

	c.mu.Lock()
	defer c.mu.Unlock()
	if len(addresses) > 0 {
		c.addresses = addresses
	}
	c.expires = time.Now().Add(max(ttl, minTTL))
	close(c.lookupDone)
	c.lookupDone = nil
}

func (c *addressCache) lookup(ctx context.Context, entries []string) ([]string, time.Duration) {
	for _, entry := range entries {
		list, err := c.listEntries(ctx, entry)
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

func (c *addressCache) listEntries(ctx context.Context, entry string) (*oas.EntryList, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	client, err := oas.NewClient(baseURL(entry), noToken{}, oas.WithClient(c.client))
	if err != nil {
		return nil, err
	}
	return client.ListEntries(ctx, oas.ListEntriesParams{DataCentre: oas.NewOptString(string(c.dataCentre))})
}

// noToken is the security source of callers, which need no operator token.
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
