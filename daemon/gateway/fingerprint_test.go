package gateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/platform/headers"
)

func TestFingerprintTellsOtherRequestsApart(t *testing.T) {
	type fields struct {
		team                 core.Team
		method, host, target string
		body                 string
	}
	of := func(f fields) fleet.Trait {
		return requestTrait(f.team, f.method, f.host, f.target, []byte(f.body))
	}
	deadly := fields{"team", "POST", "host", "/a/b?x=1", "body"}
	for name, other := range map[string]fields{
		"team":                 {"team-2", "POST", "host", "/a/b?x=1", "body"},
		"no team":              {"", "POST", "host", "/a/b?x=1", "body"},
		"method":               {"team", "PUT", "host", "/a/b?x=1", "body"},
		"host":                 {"team", "POST", "host2", "/a/b?x=1", "body"},
		"path":                 {"team", "POST", "host", "/a/c?x=1", "body"},
		"query":                {"team", "POST", "host", "/a/b?x=2", "body"},
		"body":                 {"team", "POST", "host", "/a/b?x=1", "body2"},
		"no body":              {"team", "POST", "host", "/a/b?x=1", ""},
		"field boundary":       {"team", "POST", "host/a", "/b?x=1", "body"},
		"boundary to the body": {"team", "POST", "host", "/a/b?x=1b", "ody"},
	} {
		require.NotEqual(t, of(deadly), of(other), name)
	}
	require.Equal(t, of(deadly), of(deadly))
	require.True(t, of(deadly).IsRequest())
}

func TestRepeatedRequestHasTheSameFingerprintWithOtherHeaders(t *testing.T) {
	fingerprint := func(id, deadline string) fleet.Trait {
		r := httptest.NewRequest("POST", "/a?x=1", strings.NewReader("body"))
		r.Header.Set(headers.Names().RequestID, id)
		r.Header.Set(headers.Names().Deadline, deadline)
		c := &call{id: id, team: &fleet.Team{Name: "team"}, body: []byte("body")}
		traits := requestTraits(c, "", r, headers.Names().PromptParts)
		return traits[len(traits)-1]
	}
	require.Equal(t, fingerprint("1", "100"), fingerprint("2", "2000"))
}

func TestWholeRequestIsTheLastTrait(t *testing.T) {
	r := httptest.NewRequest("POST", "/a", http.NoBody)
	r.Header.Set(headers.Names().PromptParts, "p:1,q:2,own:3")
	traits := requestTraits(&call{}, "m", r, headers.Names().PromptParts)
	require.Len(t, traits, 3)
	require.Equal(t, []fleet.Trait{{Model: "m", ID: "p"}, {Model: "m", ID: "q"}}, traits[:2])
	require.True(t, traits[2].IsRequest())
}

func BenchmarkRequestTrait(b *testing.B) {
	for name, size := range map[string]int{"no body": 0, "1 KiB": 1 << 10, "64 KiB": 64 << 10, "4 MiB": 4 << 20} {
		b.Run(name, func(b *testing.B) {
			body := bytes.Repeat([]byte("b"), size)
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				requestTrait("team", "POST", "host.example", "/a/b/c?x=1", body)
			}
		})
	}
}
