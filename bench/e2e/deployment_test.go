package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/api/oas"
	"currantusher.dev/bench/procs"
	"currantusher.dev/standin/backend"
)

const (
	token = "e2e"
	// patience bounds waits for a state; nothing is asserted about their length.
	patience = 90 * time.Second
	poll     = 50 * time.Millisecond
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "currantusher-e2e")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "currantusher")
	build := exec.Command("go", "build", "-o", binary, "currantusher.dev/cmd/currantusher")
	if out, err := build.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v: %s", err, out))
	}
	status := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// deployment is two entries, two engines and two plain services in two data
// centres, each daemon and stand-in a process of its own.
type deployment struct {
	t       *testing.T
	dir     string
	store   *procs.Process
	daemons map[string]*procs.Process
	args    map[string][]string
	entries map[string]string
	backs   map[string]string
	servers map[string]*procs.Process
	origin  string
}

func address(t *testing.T) string {
	t.Helper()
	addr, err := procs.FreeTCP()
	require.NoError(t, err)
	return addr
}

func start(t *testing.T, name string, args ...string) *procs.Process {
	t.Helper()
	process, err := procs.Start(procs.Config{Name: name, Binary: binary, Args: args, Env: []string{"CURRANTUSHER_OPERATOR_TOKEN=" + token}})
	require.NoError(t, err)
	t.Cleanup(process.Kill)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("%s wrote:\n%s", name, process.Output())
		}
	})
	return process
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{
		t:       t,
		dir:     t.TempDir(),
		daemons: map[string]*procs.Process{},
		args:    map[string][]string{},
		entries: map[string]string{},
		backs:   map[string]string{},
		servers: map[string]*procs.Process{},
	}
	d.cli("keys", "create", d.dir, "--instances", "entry-1,entry-2,engine-1,engine-2,service-1,service-2")
	store := address(t)
	d.origin = "http://" + address(t)
	d.store = start(t, "store", "standin", "store", "--listen", store, "--list-lag", "200ms")
	start(t, "origin", "standin", "origin", "--listen", strings.TrimPrefix(d.origin, "http://"))
	for i, dataCentre := range []string{"bern-west", "lausanne-nord"} {
		region := []string{"mittelland", "romandie"}[i]
		number := i + 1
		place := []string{"--data-centre", dataCentre, "--region", region, "--platform-url", "http://" + store}
		d.addEntry(fmt.Sprintf("entry-%d", number), place)
		d.addAgent(fmt.Sprintf("engine-%d", number), "engine", "label-llm", place)
		d.addAgent(fmt.Sprintf("service-%d", number), "service", "lot-registry", place)
	}
	d.apply()
	return d
}

func (d *deployment) addEntry(name string, place []string) {
	addr := address(d.t)
	d.entries[name] = "http://" + addr
	d.args[name] = append([]string{"entry", "--http-listen", addr, "--address-ttl", "1s"}, place...)
	d.startDaemon(name)
}

func (d *deployment) addAgent(name, kind, group string, place []string) {
	addr := address(d.t)
	d.backs[name] = "http://" + addr
	d.servers[name] = start(d.t, "standin-"+name, "standin", kind, "--listen", addr, "--warm-up", "100ms")
	args := append([]string{"agent", "--group", group, "--backend-url", d.backs[name]}, place...)
	if kind == "engine" {
		args = append(args, "--origin-url", d.origin)
	}
	d.args[name] = args
	d.startDaemon(name)
}

func (d *deployment) startDaemon(name string) {
	keys := []string{"--instance", name, "--ca", filepath.Join(d.dir, "ca.pem"),
		"--cert", filepath.Join(d.dir, name+".pem"), "--key", filepath.Join(d.dir, name+".key")}
	d.daemons[name] = start(d.t, name, append(append([]string{}, d.args[name]...), keys...)...)
}

// cli runs one command of the operators' tool and returns its output.
func (d *deployment) cli(args ...string) string {
	d.t.Helper()
	command := exec.Command(binary, args...)
	command.Env = append(os.Environ(), "CURRANTUSHER_OPERATOR_TOKEN="+token, "CURRANTUSHER_ENTRY="+d.entries["entry-1"], "CURRANTUSHER_TIMEOUT="+patience.String())
	out, err := command.CombinedOutput()
	require.NoError(d.t, err, "%v: %s", args, out)
	return string(out)
}

const tablesFile = `
teams: [{name: aare, weight: 1}]
data_centres:
  - {name: bern-west, region: mittelland, state: in}
  - {name: lausanne-nord, region: romandie, state: in}
pools:
  - {name: label-llm, group: label-llm, kind: engine, limits: {cold_requests: 2, warm_requests: 16}}
  - {name: lot-registry, group: lot-registry, kind: service, limits: {cold_requests: 2, warm_requests: 16}}
routes:
  - {name: labels, pool: label-llm, deadline_millis: 60000}
  - {name: lots, pool: lot-registry, at_most_once: true, path: /lots, deadline_millis: 20000}
`

func (d *deployment) apply() {
	for _, url := range d.entries {
		d.eventually("entry answers", func() bool { return status(url+"/healthz") == http.StatusOK })
	}
	file := filepath.Join(d.dir, "tables.yaml")
	require.NoError(d.t, os.WriteFile(file, []byte(tablesFile), 0o600))
	d.cli("apply", file)
	d.publish("first version")
	for _, url := range d.entries {
		d.eventually("entry ready", func() bool { return status(url+"/readyz") == http.StatusOK })
	}
}

// publish pins new weights and waits until both engines carry them.
func (d *deployment) publish(content string) string {
	d.t.Helper()
	file := filepath.Join(d.dir, "weights.bin")
	require.NoError(d.t, os.WriteFile(file, bytes.Repeat([]byte(content), 1<<16), 0o600))
	d.cli("weights", "publish", file, "--pool", "label-llm", "--origin-url", d.origin)
	root := strings.Trim(d.pool().Weights.Or(""), `"`)
	for name, url := range d.backs {
		if strings.HasPrefix(name, "engine") {
			d.eventually(name+" carries the version", func() bool { return d.state(url).Weights == root })
		}
	}
	for name, url := range d.entries {
		d.eventually(name+" knows both engines", func() bool { return enginesOn(url, root) == 2 })
	}
	return root
}

func (d *deployment) pool() oas.Pool {
	var pool oas.Pool
	require.NoError(d.t, pool.UnmarshalJSON([]byte(d.cli("pool", "get", "label-llm"))))
	return pool
}

func (d *deployment) eventually(what string, holds func() bool) {
	d.t.Helper()
	deadline := time.Now().Add(patience)
	for !holds() {
		if time.Now().After(deadline) {
			require.FailNow(d.t, what+": not reached")
		}
		time.Sleep(poll)
	}
}

// enginesOn counts the agents that an entry knows to carry a version.
func enginesOn(entry, root string) int {
	response, err := http.Get(entry + "/v1/status")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	var known oas.Status
	if known.UnmarshalJSON(body) != nil {
		return 0
	}
	count := 0
	for _, daemon := range known.Daemons {
		if daemon.Weights.Or("") == root {
			count++
		}
	}
	return count
}

func status(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

type engineState struct {
	Incarnation string `json:"incarnation"`
	Weights     string `json:"weights"`
	Running     int    `json:"running"`
}

func (d *deployment) state(url string) engineState {
	var state engineState
	response, err := http.Get(url + "/v1/state")
	if err != nil {
		return state
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&state)
	return state
}

// answer is what a caller got.
type answer struct {
	err     error
	status  int
	body    []byte
	problem oas.Problem
}

func (a answer) whole() bool { return a.err == nil && a.status == http.StatusOK }

func (d *deployment) send(ctx context.Context, entry, route, key string, body string) answer {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.entries[entry]+"/v1/requests/"+route, strings.NewReader(body))
	require.NoError(d.t, err)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Team", "aare")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	got := answer{status: response.StatusCode}
	got.body, got.err = io.ReadAll(response.Body)
	if got.status != http.StatusOK {
		_ = got.problem.UnmarshalJSON(got.body)
	}
	return got
}

func (d *deployment) counters(name string) backend.Counters {
	var counters backend.Counters
	response, err := http.Get(d.backs[name] + "/counters")
	require.NoError(d.t, err)
	defer func() { _ = response.Body.Close() }()
	require.NoError(d.t, json.NewDecoder(response.Body).Decode(&counters))
	return counters
}

// inject switches faults of a backend server.
func (d *deployment) inject(name, faults string) {
	response, err := http.Post(d.backs[name]+"/faults", "application/json", strings.NewReader(faults))
	require.NoError(d.t, err)
	_ = response.Body.Close()
	require.Less(d.t, response.StatusCode, http.StatusMultipleChoices)
}
