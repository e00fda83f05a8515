package service

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/standin/backend"
)

func send(t *testing.T, s *Server, key, body string) (int, Answer) {
	t.Helper()
	request := httptest.NewRequest(http.MethodPost, "/lots", strings.NewReader(body))
	request.Header.Set(backend.HeaderRequestID, "r-"+key)
	request.Header.Set(backend.HeaderTeam, "dawn")
	request.Header.Set(backend.HeaderIdempotencyKey, key)
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, request)
	var answer Answer
	if recorder.Code == http.StatusOK {
		require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &answer))
	}
	return recorder.Code, answer
}

func TestEachRunTakesANumber(t *testing.T) {
	s := New(Config{})
	_, first := send(t, s, "a", "{}")
	require.Equal(t, Answer{RequestID: "r-a", Sequence: 1, Echo: core.DigestOf([]byte("{}"))}, first)
	require.Equal(t, 1, s.MaxRuns())
	_, again := send(t, s, "a", "{}")
	require.EqualValues(t, 2, again.Sequence)
	require.Equal(t, 2, s.MaxRuns())
	require.Equal(t, 2, s.RunCount(backend.IdempotencyRunKey("dawn", "a")))
	require.Zero(t, s.RunCount(backend.IdempotencyRunKey("dusk", "a")))
}

func TestRunWithLostAnswerIsCounted(t *testing.T) {
	s := New(Config{})
	require.NoError(t, s.Inject(backend.Faults{CutAnswers: 1}))
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { send(t, s, "a", "{}") })
	require.Equal(t, 1, s.RunCount(backend.IdempotencyRunKey("dawn", "a")))
	require.Zero(t, s.Counters().Running)
}
