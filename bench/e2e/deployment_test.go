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
	operatorToken = "e2e"
	// waitTimeout bounds the wait for a condition. The tests make no assertion
	// about the length of a wait.
	waitTimeout  = 90 * time.Second
	pollInterval = 50 * time.Millisecond
)

var binary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "currantusher-e2e")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "currantusher")
	buildCommand := exec.Command("go", "build", "-o", binary, "currantusher.dev/cmd/currantusher")
	if out, err := buildCommand.CombinedOutput(); err != nil {
		panic(fmt.Sprintf("build: %v: %s", err, out))
	}
	exitCode := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(exitCode)
}

// deployment has two entries, two engines and two plain services in two data
// centres. Each daemon and each stand-in is a separate process.
type deployment struct {
	t                *testing.T
	dir              string
	store            *procs.Process
	daemons          map[string]*procs.Process
	daemonArgs       map[string][]string
	entryURLs        map[string]string
	backendURLs      map[string]string
	backendProcesses map[string]*procs.Process
	originURL        string
	storeURL         string
}

func freeAddress(t *testing.T) string {
	t.Helper()
	addr, err := procs.FreeTCP()
	require.NoError(t, err)
	return addr
}

func startProcess(t *testing.T, name string, args ...string) *procs.Process {
	t.Helper()
	process, err := procs.Start(procs.Config{Name: name, Binary: binary, Args: args, Env: []string{"CURRANTUSHER_OPERATOR_TOKEN=" + operatorToken}})
	require.NoError(t, err)
	t.Cleanup(process.Kill)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("output of %s:\n%s", name, process.Output())
		}
	})
	return process
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{
		t:                t,
		dir:              t.TempDir(),
		daemons:          map[string]*procs.Process{},
		daemonArgs:       map[string][]string{},
		entryURLs:        map[string]string{},
		backendURLs:      map[string]string{},
		backendProcesses: map[string]*procs.Process{},
	}
	d.runCLI("keys", "create", d.dir, "--instances", "entry-1,entry-2,engine-1,engine-2,service-1,service-2")
	store := freeAddress(t)
	d.storeURL = "http://" + store
	d.originURL = "http://" + freeAddress(t)
	d.store = startProcess(t, "store", "standin", "store", "--listen", store, "--list-lag", "200ms")
	startProcess(t, "origin", "standin", "origin", "--listen", strings.TrimPrefix(d.originURL, "http://"))
	d.waitUntil("the store answers", func() bool { return statusCode(d.storeURL+"/stats") == http.StatusOK })
	for i, dataCentre := range []string{"bern-west", "lausanne-nord"} {
		region := []string{"mittelland", "romandie"}[i]
		number := i + 1
		locationArgs := []string{"--data-centre", dataCentre, "--region", region, "--platform-url", d.storeURL}
		d.addEntry(fmt.Sprintf("entry-%d", number), locationArgs)
		d.addAgent(fmt.Sprintf("engine-%d", number), "engine", "label-llm", locationArgs)
		d.addAgent(fmt.Sprintf("service-%d", number), "service", "lot-registry", locationArgs)
	}
	d.applyTables()
	return d
}

func (d *deployment) addEntry(name string, locationArgs []string) {
	addr := freeAddress(d.t)
	d.entryURLs[name] = "http://" + addr
	d.daemonArgs[name] = append([]string{"entry", "--http-listen", addr, "--address-ttl", "1s"}, locationArgs...)
	d.startDaemon(name)
}

func (d *deployment) addAgent(name, kind, group string, locationArgs []string) {
	addr := freeAddress(d.t)
	d.backendURLs[name] = "http://" + addr
	d.backendProcesses[name] = startProcess(d.t, "standin-"+name, "standin", kind, "--listen", addr, "--warm-up", "100ms")
	args := append([]string{"agent", "--group", group, "--backend-url", d.backendURLs[name]}, locationArgs...)
	if kind == "engine" {
		args = append(args, "--origin-url", d.originURL)
	}
	d.daemonArgs[name] = args
	d.startDaemon(name)
}

func (d *deployment) startDaemon(name string) {
	keyArgs := []string{"--instance", name, "--ca", filepath.Join(d.dir, "ca.pem"),
		"--cert", filepath.Join(d.dir, name+".pem"), "--key", filepath.Join(d.dir, name+".key")}
	d.daemons[name] = startProcess(d.t, name, append(append([]string{}, d.daemonArgs[name]...), keyArgs...)...)
}

// runCLI runs one operator command of the binary and returns its output.
func (d *deployment) runCLI(args ...string) string {
	d.t.Helper()
	command := exec.Command(binary, args...)
	command.Env = append(os.Environ(), "CURRANTUSHER_OPERATOR_TOKEN="+operatorToken, "CURRANTUSHER_ENTRY="+d.entryURLs["entry-1"], "CURRANTUSHER_TIMEOUT="+waitTimeout.String())
	out, err := command.CombinedOutput()
	require.NoError(d.t, err, "%v: %s", args, out)
	return string(out)
}

const tablesYAML = `
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

func (d *deployment) applyTables() {
	for _, url := range d.entryURLs {
		d.waitUntil("entry answers", func() bool { return statusCode(url+"/healthz") == http.StatusOK })
	}
	file := filepath.Join(d.dir, "tables.yaml")
	require.NoError(d.t, os.WriteFile(file, []byte(tablesYAML), 0o600))
	d.runCLI("apply", file)
	d.publish("first version")
	for _, url := range d.entryURLs {
		d.waitUntil("entry is ready", func() bool { return statusCode(url+"/readyz") == http.StatusOK })
	}
}

// publish publishes new weights, sets them in the pool and waits until both
// engines have activated them and both entries list the engines with them.
func (d *deployment) publish(content string) string {
	d.t.Helper()
	file := filepath.Join(d.dir, "weights.bin")
	require.NoError(d.t, os.WriteFile(file, bytes.Repeat([]byte(content), 1<<16), 0o600))
	d.runCLI("weights", "publish", file, "--pool", "label-llm", "--origin-url", d.originURL)
	root := strings.Trim(d.modelPool().Weights.Or(""), `"`)
	for name, url := range d.backendURLs {
		if strings.HasPrefix(name, "engine") {
			d.waitUntil(name+" has activated the version", func() bool { return d.engineState(url).Weights == root })
		}
	}
	for name, url := range d.entryURLs {
		d.waitUntil(name+" lists both engines with the version", func() bool { return countEnginesWithVersion(url, root) == 2 })
	}
	return root
}

func (d *deployment) modelPool() oas.Pool {
	var pool oas.Pool
	require.NoError(d.t, pool.UnmarshalJSON([]byte(d.runCLI("pool", "get", "label-llm"))))
	return pool
}

func (d *deployment) waitUntil(description string, condition func() bool) {
	d.t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			require.FailNow(d.t, description+": condition not met in time")
		}
		time.Sleep(pollInterval)
	}
}

// countEnginesWithVersion counts the daemons that report the version, according
// to the status of an entry.
func countEnginesWithVersion(entry, root string) int {
	response, err := http.Get(entry + "/v1/status")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	var systemStatus oas.Status
	if systemStatus.UnmarshalJSON(body) != nil {
		return 0
	}
	count := 0
	for _, daemon := range systemStatus.Daemons {
		if daemon.Weights.Or("") == root {
			count++
		}
	}
	return count
}

func statusCode(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

type backendState struct {
	Incarnation string `json:"incarnation"`
	Weights     string `json:"weights"`
	Running     int    `json:"running"`
}

func (d *deployment) engineState(url string) backendState {
	var state backendState
	response, err := http.Get(url + "/v1/state")
	if err != nil {
		return state
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&state)
	return state
}

// requestResult is the result of one request as observed by its caller.
type requestResult struct {
	err     error
	status  int
	body    []byte
	problem oas.Problem
}

func (r requestResult) isWhole() bool { return r.err == nil && r.status == http.StatusOK }

func (d *deployment) send(ctx context.Context, entry, route, key string, body string) requestResult {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, d.entryURLs[entry]+"/v1/requests/"+route, strings.NewReader(body))
	require.NoError(d.t, err)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Team", "aare")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return requestResult{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	result := requestResult{status: response.StatusCode}
	result.body, result.err = io.ReadAll(response.Body)
	if result.status != http.StatusOK {
		_ = result.problem.UnmarshalJSON(result.body)
	}
	return result
}

func (d *deployment) backendCounters(name string) backend.Counters {
	var counters backend.Counters
	response, err := http.Get(d.backendURLs[name] + "/counters")
	require.NoError(d.t, err)
	defer func() { _ = response.Body.Close() }()
	require.NoError(d.t, json.NewDecoder(response.Body).Decode(&counters))
	return counters
}

// injectFaults sets faults of a backend server.
func (d *deployment) injectFaults(name, faults string) {
	response, err := http.Post(d.backendURLs[name]+"/faults", "application/json", strings.NewReader(faults))
	require.NoError(d.t, err)
	_ = response.Body.Close()
	require.Less(d.t, response.StatusCode, http.StatusMultipleChoices)
}

// injectStoreFaults replaces the faults of the store.
func (d *deployment) injectStoreFaults(faults string) {
	request, err := http.NewRequest(http.MethodPut, d.storeURL+"/faults", strings.NewReader(faults))
	require.NoError(d.t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(d.t, err)
	_ = response.Body.Close()
	require.Less(d.t, response.StatusCode, http.StatusMultipleChoices)
}
