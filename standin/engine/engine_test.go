package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/standin/backend"
	"currantusher.dev/weights"
)

// fakeClock is a clock that the test advances.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

type testEngine struct {
	t      *testing.T
	engine *Server
	clock  *fakeClock
	http   *httptest.Server
}

const testWarmUp = 10 * time.Second

func newTestEngine(t *testing.T, sharedChunks *SharedChunks) *testEngine {
	c := &fakeClock{now: time.Unix(1000, 0)}
	e := New(Config{
		WarmUp:       testWarmUp,
		ColdLimit:    1,
		WarmLimit:    3,
		CheckFence:   true,
		SharedChunks: sharedChunks,
		Now:          c.Now,
	})
	server := httptest.NewServer(e)
	t.Cleanup(server.Close)
	return &testEngine{t: t, engine: e, clock: c, http: server}
}

func (r *testEngine) do(method, path string, body []byte, headers ...string) (int, http.Header, string, error) {
	r.t.Helper()
	request, err := http.NewRequest(method, r.http.URL+path, bytes.NewReader(body))
	require.NoError(r.t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := r.http.Client().Do(request)
	if err != nil {
		return 0, nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(answer), err
}

func (r *testEngine) status(method, path string, body []byte, headers ...string) int {
	status, _, _, err := r.do(method, path, body, headers...)
	require.NoError(r.t, err)
	return status
}

// testVersion returns the root digest, the encoded manifest and the three chunks
// of a version.
func testVersion(name string) (core.Digest, []byte, [][]byte) {
	var manifest weights.Manifest
	var chunks [][]byte
	var size int64
	for i := range 3 {
		chunk := []byte(fmt.Sprintf("chunk %d of %s", i, name))
		chunks = append(chunks, chunk)
		size += int64(len(chunk))
		manifest.Chunks = append(manifest.Chunks, weights.Chunk{Digest: core.DigestOf(chunk), Size: int64(len(chunk))})
	}
	manifest.Files = []weights.File{{Path: "model", Size: size}}
	encoded, root, err := manifest.Encode()
	if err != nil {
		panic(err)
	}
	return root, encoded, chunks
}

func (r *testEngine) stage(name string) core.Digest {
	root, encoded, chunks := testVersion(name)
	require.Equal(r.t, 204, r.status("PUT", "/v1/staging/manifests/"+root.String(), encoded))
	for _, chunk := range chunks {
		require.Equal(r.t, 204, r.status("PUT", "/v1/staging/chunks/"+core.DigestOf(chunk).String(), chunk))
	}
	return root
}

func (r *testEngine) activate(root core.Digest, fence int) int {
	return r.status("POST", "/v1/activate", []byte(fmt.Sprintf(`{"root":%q,"fence":%d}`, root, fence)))
}

func (r *testEngine) warm(name string) core.Digest {
	root := r.stage(name)
	require.Equal(r.t, 200, r.activate(root, 1))
	r.clock.advance(testWarmUp)
	return root
}

func (r *testEngine) state() backend.State {
	_, _, body, err := r.do("GET", "/v1/state", nil)
	require.NoError(r.t, err)
	var state backend.State
	require.NoError(r.t, json.Unmarshal([]byte(body), &state))
	return state
}

const testBody = `{"prompt":"crate 7","max_tokens":6}`

func (r *testEngine) generate(headers ...string) (int, http.Header, string, error) {
	return r.do("POST", "/v1/generate", []byte(testBody), append(headers, "X-Request-Id", "r-1")...)
}

func TestPlainAnswer(t *testing.T) {
	r := newTestEngine(t, nil)
	root := r.warm("a")
	status, header, body, err := r.generate()
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Equal(t, root.String(), header.Get("X-Weights"))
	require.Equal(t, "r-1", header.Get("X-Request-Id"))
	var answer Answer
	require.NoError(t, json.Unmarshal([]byte(body), &answer))
	want, err := ExpectedText([]byte(testBody), root, 0)
	require.NoError(t, err)
	require.Equal(t, Answer{RequestID: "r-1", Weights: root.String(), Text: want}, answer)
	otherWeightsText, err := ExpectedText([]byte(testBody), core.DigestOf(nil), 0)
	require.NoError(t, err)
	require.NotEqual(t, otherWeightsText, want)
}

func TestStreamResumesAtAnyByte(t *testing.T) {
	r := newTestEngine(t, nil)
	root := r.warm("a")
	_, _, whole, err := r.generate("Accept", "text/event-stream")
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(whole, "data: [DONE]\n\n"))
	require.Equal(t, 7, strings.Count(whole, "data: "))
	require.Contains(t, whole, root.String())
	for from := 0; from <= len(whole); from += 37 {
		_, _, rest, err := r.generate("Accept", "text/event-stream", "X-Resume-From", strconv.Itoa(from))
		require.NoError(t, err)
		require.Equal(t, whole[from:], rest)
	}
}

func TestStagingVerifiesDigests(t *testing.T) {
	r := newTestEngine(t, nil)
	root, encoded, chunks := testVersion("a")
	digest := core.DigestOf(chunks[0]).String()
	require.Equal(t, 422, r.status("PUT", "/v1/staging/chunks/"+digest, []byte("corrupt")))
	require.Equal(t, 422, r.status("PUT", "/v1/staging/manifests/"+digest, encoded))
	require.Equal(t, 404, r.status("GET", "/v1/staging/chunks/"+digest, nil))
	require.Equal(t, 422, r.activate(root, 1))
	require.Equal(t, 204, r.status("PUT", "/v1/staging/manifests/"+root.String(), encoded))
	require.Equal(t, 422, r.activate(root, 1))
	require.Equal(t, 503, r.status("POST", "/v1/generate", []byte(testBody)))
	require.Zero(t, r.engine.Counters().Starts)
}

func TestActivationHashesStagedBytesAgain(t *testing.T) {
	r := newTestEngine(t, nil)
	root := r.stage("a")
	require.NoError(t, r.engine.Inject(backend.Faults{CorruptChunks: 1}))
	require.Equal(t, 422, r.activate(root, 1))
	require.Len(t, r.engine.staging.digests(), 2)
	require.Equal(t, r.stage("a"), root)
	require.Equal(t, 200, r.activate(root, 1))
}

func TestPartialWeightsAreCounted(t *testing.T) {
	r := newTestEngine(t, nil)
	skip := true
	require.NoError(t, r.engine.Inject(backend.Faults{SkipVerify: &skip}))
	root := r.stage("a")
	require.NoError(t, r.engine.Inject(backend.Faults{CorruptChunks: 1}))
	require.Equal(t, 200, r.activate(root, 1))
	_, _, _, err := r.generate()
	require.NoError(t, err)
	require.Equal(t, 1, r.engine.Counters().PartialWeights)
}

func TestStaleFencingTokenIsRejected(t *testing.T) {
	r := newTestEngine(t, nil)
	a, b := r.stage("a"), r.stage("b")
	require.Equal(t, 200, r.activate(a, 5))
	require.Equal(t, 409, r.activate(b, 4))
	require.Equal(t, 409, r.status("POST", "/v1/evict", []byte(`{"keep":[],"fence":4}`)))
	require.Equal(t, a, r.engine.ActiveRoot())
	ignore := true
	require.NoError(t, r.engine.Inject(backend.Faults{IgnoreFence: &ignore}))
	require.Equal(t, 200, r.activate(b, 4))
	require.EqualValues(t, 5, r.state().Fence)
}

func TestEvictKeepsListedVersions(t *testing.T) {
	sharedChunks := NewSharedChunks()
	r, second := newTestEngine(t, sharedChunks), newTestEngine(t, sharedChunks)
	a, b := r.stage("a"), r.stage("b")
	second.stage("a")
	require.Len(t, sharedChunks.chunks, 6)
	require.Equal(t, 200, r.status("POST", "/v1/evict", []byte(fmt.Sprintf(`{"keep":[%q],"fence":1}`, b))))
	require.Equal(t, 422, r.activate(a, 1))
	require.Equal(t, 200, r.activate(b, 1))
	require.Len(t, sharedChunks.chunks, 6)
	second.engine.Close()
	require.Len(t, sharedChunks.chunks, 3)
}

func TestOverloadRestartsColdEngine(t *testing.T) {
	r := newTestEngine(t, nil)
	root := r.stage("a")
	require.Equal(t, 200, r.activate(root, 1))
	before := r.state()
	require.False(t, before.Warm)
	run, err := r.engine.simulator.Start("x", nil)
	require.NoError(t, err)
	_, _, _, err = r.generate()
	require.Error(t, err)
	require.ErrorIs(t, run.Sleep(t.Context(), time.Hour), backend.ErrDown)
	run.Done()
	counters := r.engine.Counters()
	require.Equal(t, 1, counters.OverloadRestarts)
	require.Zero(t, counters.Running)
	require.NotEqual(t, before.Incarnation, r.state().Incarnation)
	require.Empty(t, r.state().Weights)
	require.Empty(t, r.engine.staging.digests())
}

func TestUnannouncedColdStartHasGracePeriod(t *testing.T) {
	r := newTestEngine(t, nil)
	r.warm("a")
	_, err := r.engine.simulator.Start("x", nil)
	require.NoError(t, err)
	require.NoError(t, r.engine.Inject(backend.Faults{TurnCold: true}))
	require.False(t, r.state().Warm)
	status, _, _, err := r.generate()
	require.NoError(t, err)
	require.Equal(t, 429, status)
	r.clock.advance(2 * time.Second)
	_, _, _, err = r.generate()
	require.Error(t, err)
	require.Equal(t, 1, r.engine.Counters().OverloadRestarts)
}

func TestWarmLimit(t *testing.T) {
	r := newTestEngine(t, nil)
	r.warm("a")
	for range 3 {
		_, err := r.engine.simulator.Start("x", nil)
		require.NoError(t, err)
	}
	require.Equal(t, 429, r.status("POST", "/v1/generate", []byte(testBody)))
	counters := r.engine.Counters()
	require.Equal(t, 3, counters.MaxRunning)
	require.Equal(t, 1, counters.OverLimit)
	require.Zero(t, counters.OverloadRestarts)
}

func TestStartsAfterDataCentreOut(t *testing.T) {
	r := newTestEngine(t, nil)
	r.warm("a")
	since := r.clock.Now().Format(time.RFC3339Nano)
	require.NoError(t, r.engine.Inject(backend.Faults{DataCentreOutSince: &since}))
	r.clock.advance(2 * time.Second)
	require.Equal(t, 200, r.status("POST", "/v1/generate", []byte(testBody)))
	require.Zero(t, r.engine.Counters().StartsAfterOut)
	r.clock.advance(2 * time.Second)
	require.Equal(t, 200, r.status("POST", "/v1/generate", []byte(testBody)))
	require.Equal(t, 1, r.engine.Counters().StartsAfterOut)
	require.InDelta(t, 4, r.engine.Counters().LastStartAfterOutSeconds, 0.001)
	late := newTestEngine(t, nil)
	late.warm("a")
	since = late.clock.Now().Format(time.RFC3339Nano)
	late.clock.advance(time.Second)
	require.Equal(t, 200, late.status("POST", "/v1/generate", []byte(testBody)))
	require.NoError(t, late.engine.Inject(backend.Faults{DataCentreOutSince: &since}))
	require.InDelta(t, 1, late.engine.Counters().LastStartAfterOutSeconds, 0.001, "a start before the injection but after the data centre was taken out counts")
}

func TestRunCountsByKey(t *testing.T) {
	r := newTestEngine(t, nil)
	r.warm("a")
	for range 2 {
		_, _, _, err := r.generate("X-Team", "t", "X-Idempotency-Key", "k")
		require.NoError(t, err)
	}
	_, _, _, err := r.generate()
	require.NoError(t, err)
	require.Equal(t, 2, r.engine.RunCount(backend.IdempotencyRunKey("t", "k")))
	require.Equal(t, 1, r.engine.RunCount(backend.PromptRunKey("crate 7")))
	require.Equal(t, 2, r.engine.Counters().MaxRuns)
}

func TestAnswerFaults(t *testing.T) {
	r := newTestEngine(t, nil)
	r.warm("a")
	_, _, _, err := r.do("POST", "/v1/generate", []byte(testBody), "X-Request-Id", "r-0")
	require.NoError(t, err)
	require.NoError(t, r.engine.Inject(backend.Faults{CrossedAnswers: 1}))
	_, header, _, err := r.generate()
	require.NoError(t, err)
	require.Equal(t, "r-0", header.Get("X-Request-Id"))
	require.NoError(t, r.engine.Inject(backend.Faults{CutAnswers: 2}))
	_, _, _, err = r.generate()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	_, _, part, err := r.generate("Accept", "text/event-stream")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	require.Equal(t, 3, strings.Count(part, "data: "))
	require.NoError(t, r.engine.Inject(backend.Faults{DoubledAnswers: 1}))
	status, _, _, err := r.generate()
	require.NoError(t, err)
	require.Equal(t, 200, status)
}

func TestCrashAndRestart(t *testing.T) {
	r := newTestEngine(t, nil)
	r.warm("a")
	require.Equal(t, 204, r.status("POST", "/faults", []byte(`{"crash": true}`)))
	_, _, _, err := r.do("GET", "/v1/state", nil)
	require.Error(t, err)
	require.Equal(t, 204, r.status("POST", "/faults", []byte(`{"restart_empty": true}`)))
	require.Empty(t, r.state().Weights)
	require.Equal(t, 400, r.status("POST", "/faults", []byte(`{"no_such_switch": 1}`)))
	require.Equal(t, 400, r.status("POST", "/faults", []byte(`{"data_centre_out_since": "noon"}`)))
}

func TestRunningRequestKeepsItsVersion(t *testing.T) {
	r := newTestEngine(t, nil)
	old := r.warm("a")
	r.engine.cfg.TokenDelay = 20 * time.Millisecond
	answers := make(chan string)
	go func() {
		_, header, _, _ := r.generate()
		answers <- header.Get("X-Weights")
	}()
	require.Eventually(t, func() bool { return r.engine.Counters().Running == 1 }, time.Minute, time.Millisecond)
	require.Equal(t, 200, r.activate(r.stage("b"), 2))
	require.Equal(t, old.String(), <-answers)
}
