package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestTableFindsLongestPrefixOfHost(t *testing.T) {
	table := Compile(Configuration{Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}})
	cases := []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"A.example:8005", "/x/yy", "short"},
		{"a.example", "/x", ""},
		{"a.example", "/X/y/", ""},
		{"b.example", "/anything", "other"},
		{"c.example", "/x/", ""},
	}
	for _, c := range cases {
		route := table.Route(c.host, c.path)
		if c.want == "" {
			require.Nil(t, route, "%s%s", c.host, c.path)
			continue
		}
		require.NotNil(t, route, "%s%s", c.host, c.path)
		require.Equal(t, c.want, string(route.Name))
	}
}

func TestTableFindsTeamByKey(t *testing.T) {
	table := Compile(Configuration{Teams: []Team{{Name: "aare", Keys: []string{"k1", "k2"}}}})
	require.Equal(t, "aare", string(table.Team("k2").Name))
	require.Nil(t, table.Team("k3"))
	require.True(t, table.NeedsKey(&Route{}))
	require.False(t, table.NeedsKey(&Route{Public: true}))
	require.False(t, Compile(Configuration{IsOpen: true}).NeedsKey(&Route{}))
}

// Guards against a service that anyone may use once its last team is taken out.
func TestEmptyListOfTeamsLetsNoKeyIn(t *testing.T) {
	table := Compile(Configuration{Teams: []Team{}})
	require.True(t, table.NeedsKey(&Route{}))
	require.False(t, table.NeedsKey(&Route{Public: true}))
	require.Nil(t, table.Team(""))
}

func TestServerIsOlderThan(t *testing.T) {
	first := time.UnixMilli(1000)
	later := time.UnixMilli(2000)
	require.True(t, (&Server{StartedAt: first, AcceptedOrders: 9}).IsOlderThan(&Server{StartedAt: later}))
	require.True(t, (&Server{StartedAt: first, AcceptedOrders: 1}).IsOlderThan(&Server{StartedAt: first, AcceptedOrders: 2}))
	require.True(t, (&Server{StartedAt: first}).IsOlderThan(&Server{StartedAt: first, Leaving: true}))
	require.False(t, (&Server{StartedAt: first, Leaving: true}).IsOlderThan(&Server{StartedAt: first}))
	require.False(t, (&Server{StartedAt: first}).IsOlderThan(&Server{StartedAt: first}))
}

func TestIsRepeatable(t *testing.T) {
	require.True(t, (&Route{Kind: RouteSafe}).IsRepeatable())
	require.False(t, (&Route{Kind: RouteUnsafe, Resumable: true}).IsRepeatable())
	require.False(t, (&Route{Kind: RouteStreaming}).IsRepeatable())
	require.True(t, (&Route{Kind: RouteStreaming, Resumable: true}).IsRepeatable())
}
