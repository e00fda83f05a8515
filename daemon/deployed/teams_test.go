package deployed

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/headers"
)

// teamChanges contains each change from one of the lists no list, an empty one, one team
// and two teams to another of them.
var teamChanges = []int{0, 1, 0, 2, 0, 3, 1, 2, 1, 3, 2, 3, 0}

// statusWith returns the status of a request to an entry with a key, or without one.
func (d *deployment) statusWith(entry int, host, path, key string) int {
	return d.sendRequest(entry, host, "POST", path, "b", func(r *http.Request) {
		if key == "" {
			r.Header.Del(headers.Names().APIKey)
			return
		}
		r.Header.Set(headers.Names().APIKey, key)
	}).status
}

// Guards against a service that anyone may use once its last team is taken out.
func TestListOfTeamsSaysWhoseRequestsRun(t *testing.T) {
	const events = 6
	d := startDeployment(t)
	for _, engine := range d.engines {
		engine.EventCount, engine.EventInterval = events, 100*time.Millisecond
	}
	teams := d.config.Teams
	lists := []fleet.Configuration{
		{IsOpen: true}, {}, {Teams: teams[:1]}, {Teams: teams},
	}
	validKeys := [][]string{{"", apiKey, otherAPIKey, "made-up"}, nil, {apiKey}, {apiKey, otherAPIKey}}
	previous := 3
	for i, kind := range teamChanges {
		var stream *http.Response
		if slices.Contains(validKeys[previous], apiKey) {
			stream = d.openStream("long")
		}
		config := d.config
		config.Version = int64(i + 2)
		config.Teams, config.IsOpen = lists[kind].Teams, lists[kind].IsOpen
		host := fmt.Sprintf("version-%d.example", config.Version)
		config.Routes = append(slices.Clone(config.Routes), fleet.Route{
			Name: "r-marker", Host: host, Prefix: "/", Kind: fleet.RouteSafe, Timeout: waitTimeout,
			Targets: []fleet.Target{{Service: "lots", Weight: 1}}, MaxAttempts: 2, Public: true,
		})
		d.store.PutConfig(config)
		for entry := range d.entries {
			d.eventually(func() bool { return d.statusWith(entry, host, "/x", "") == http.StatusOK }, "configuration %d is not followed", config.Version)
			for _, key := range []string{"", apiKey, otherAPIKey, "made-up"} {
				want := http.StatusUnauthorized
				if slices.Contains(validKeys[kind], key) {
					want = http.StatusOK
				}
				require.Equal(t, want, d.statusWith(entry, plainHost, "/look", key), "from %d to %d, key %q", previous, kind, key)
				require.Equal(t, http.StatusOK, d.statusWith(entry, plainHost, "/public/x", key), "from %d to %d, key %q", previous, kind, key)
			}
		}
		if stream != nil {
			body, err := io.ReadAll(stream.Body)
			require.NoError(t, err)
			require.Equal(t, completeStream(events), string(body), "a stream that runs, from %d to %d", previous, kind)
		}
		previous = kind
	}
}
