package gateway

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/standin"
)

// Guards against queues, with their goroutines, of services that only odd rows name: they
// are kept for ever.
func TestServicesThatNoRequestNeedsHaveNoQueues(t *testing.T) {
	l := newListedGateway(t, "a")
	for i := range 100 {
		odd := &standin.Backend{ID: "odd", Service: fmt.Sprintf("odd-%d", i), Addr: "10.0.0.9:80", Zone: "a", Store: l.servers[0].Store}
		odd.Start(0)
		l.read()
		require.Empty(t, l.services.loads())
	}
	require.Empty(t, l.services.states)
	require.NotNil(t, l.services.placer(testService))
	require.Empty(t, l.services.loads())
	require.Len(t, l.services.states, 1)
}
