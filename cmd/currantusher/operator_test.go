package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/api/oas"
	"currantusher.dev/core"
)

// startEntry serves the operator API with these answers to edits, one after the
// other and the last one repeatedly. CodeOK accepts the edit.
func startEntry(t *testing.T, answers ...core.Code) *operatorClient {
	t.Helper()
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		code := answers[min(calls, len(answers)-1)]
		calls++
		if code == core.CodeOK {
			w.Header().Set("Content-Type", "application/json")
			_, _ = fmt.Fprint(w, `{"revision": 7, "changes": []}`)
			return
		}
		work := "not-run"
		if code == core.CodeEditUnknown {
			work = "unknown"
		}
		w.Header().Set("Content-Type", "application/problem+json")
		w.WriteHeader(code.Info().HTTPStatus)
		_, _ = fmt.Fprintf(w, `{"code": %d, "name": %q, "work": %q, "detail": ""}`, code, code.Info().Name, work)
	}))
	t.Cleanup(server.Close)
	return &operatorClient{entry: server.URL, token: "token", timeout: operatorTimeout}
}

func TestRefusedRepeatLeavesAnUnknownEditUnknown(t *testing.T) {
	for _, refusal := range []core.Code{core.CodeStoreUnavailable, core.CodeStoreThrottled, core.CodeNotReady} {
		_, err := startEntry(t, core.CodeEditUnknown, refusal).edit(t.Context(), &oas.Edit{})
		require.ErrorContains(t, err, "outcome of the edit is unknown", refusal)

		result, err := startEntry(t, core.CodeEditUnknown, refusal, core.CodeOK).edit(t.Context(), &oas.Edit{})
		require.NoError(t, err)
		require.Equal(t, int64(7), result.Revision)

		_, err = startEntry(t, refusal).edit(t.Context(), &oas.Edit{})
		require.Equal(t, refusal, core.CodeOf(err), "nothing was sent before")
	}
	_, err := startEntry(t, core.CodeEditUnknown, core.CodeRevisionConflict).edit(t.Context(), &oas.Edit{})
	require.Equal(t, core.CodeRevisionConflict, core.CodeOf(err))
}
