package trace

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const entryLog = `   1.0 entry-1 {"instance":"entry-1","id":"r-1","msg":"Request placed.","attempt":1,"server":"s-1","addr":"10.0.0.1:8000","time":"2026-01-02T10:00:01.000Z"}
   1.2 entry-1 {"instance":"entry-1","id":"r-1","msg":"Attempt failed.","attempt":1,"server":"s-1","reason":"broke off","retries":true,"time":"2026-01-02T10:00:01.200Z"}
   1.2 entry-1 {"instance":"entry-1","id":"r-1","msg":"Request placed.","attempt":2,"server":"s-2","time":"2026-01-02T10:00:01.201Z"}
   1.3 entry-1 {"instance":"entry-1","id":"other","msg":"Request placed.","server":"s-1","time":"2026-01-02T10:00:01.100Z"}
   1.9 entry-1 {"instance":"entry-1","id":"r-1","msg":"Request ended.","status":200,"server":"s-2","time":"2026-01-02T10:00:01.900Z"}
not a log line
`

const otherLog = `{"instance":"agent-1","part":"weights","msg":"Load ordered.","server":"s-1","time":"2026-01-02T10:00:00.500Z"}
{"instance":"entry-2","part":"watch","msg":"Server removed.","server":"s-1","time":"2026-01-02T10:00:00.600Z"}
{"instance":"entry-2","msg":"Server removed.","server":"s-9","time":"2026-01-02T10:00:00.500Z"}
{"instance":"entry-1","part":"entry","msg":"Pause of a server announced.","addr":"10.0.0.1:8000","time":"2026-01-02T10:00:00.900Z"}
{"instance":"entry-2","msg":"Server added.","server":"s-1","time":"2026-01-02T09:59:00.000Z"}
`

func readLogs(t *testing.T, files ...string) *Log {
	t.Helper()
	var log Log
	for _, file := range files {
		require.NoError(t, log.Read(strings.NewReader(file)))
	}
	return &log
}

func TestEventsOfRequestAndItsServersInOrder(t *testing.T) {
	log := readLogs(t, entryLog, otherLog)
	require.Equal(t, 1, log.Skipped)
	var out strings.Builder
	require.NoError(t, Write(&out, log.EventsOf("r-1")))
	want := []string{
		"  10:00:00.500  agent-1  Load ordered. server=s-1",
		"  10:00:00.900  entry-1  Pause of a server announced. addr=10.0.0.1:8000",
		"* 10:00:01.000  entry-1  Request placed. attempt=1 server=s-1 addr=10.0.0.1:8000",
		"* 10:00:01.200  entry-1  Attempt failed. attempt=1 server=s-1 reason=broke off retries=true",
		"* 10:00:01.201  entry-1  Request placed. attempt=2 server=s-2",
		"* 10:00:01.900  entry-1  Request ended. server=s-2 status=200",
	}
	require.Equal(t, want, strings.Split(strings.TrimRight(out.String(), "\n"), "\n"))
}

func TestUnknownRequestHasNoEvents(t *testing.T) {
	require.Empty(t, readLogs(t, entryLog).EventsOf("r-7"))
}

const quarantineLog = `{"instance":"entry-2","part":"quarantine","msg":"A server crashed while requests waited for their answers.","server":"s-4","prompt_parts":["p-1","p-2"],"time":"2026-01-02T09:50:00.000Z"}
{"instance":"entry-3","part":"quarantine","msg":"A server crashed while requests waited for their answers.","server":"s-5","prompt_parts":["p-1"],"time":"2026-01-02T09:50:01.000Z"}
{"instance":"entry-2","part":"quarantine","msg":"A prompt part is quarantined: requests with it are refused.","prompt_part":"p-2","time":"2026-01-02T09:50:02.000Z"}
{"instance":"entry-1","id":"r-2","part":"request","msg":"Request ended.","status":503,"prompt_parts":["p-1","p-2"],"time":"2026-01-02T10:00:00.000Z"}
`

func TestRefusalForAPromptPartIsExplainedByTheCrashesOfOtherEntriesMinutesBefore(t *testing.T) {
	events := readLogs(t, quarantineLog).EventsOf("r-2")
	var seen []string
	for _, event := range events {
		seen = append(seen, event.Instance+" "+event.Message)
	}
	require.Equal(t, []string{
		"entry-2 A server crashed while requests waited for their answers.",
		"entry-2 A prompt part is quarantined: requests with it are refused.",
		"entry-1 Request ended.",
	}, seen, "p-1, which is not quarantined, explains nothing")
}

const requestQuarantineLog = `{"instance":"entry-2","part":"quarantine","msg":"A server crashed while requests waited for their answers.","server":"s-4","request_fingerprints":["f-1","f-2"],"time":"2026-01-02T09:50:00.000Z"}
{"instance":"entry-3","part":"quarantine","msg":"A server crashed while requests waited for their answers.","server":"s-5","request_fingerprints":["f-1"],"prompt_parts":["f-2"],"time":"2026-01-02T09:50:01.000Z"}
{"instance":"entry-2","part":"quarantine","msg":"A request fingerprint is quarantined: requests with it are refused.","request_fingerprint":"f-2","crashes":3,"until":"2026-01-02T10:05:00Z","time":"2026-01-02T09:50:02.000Z"}
{"instance":"entry-4","part":"quarantine","msg":"A request fingerprint is quarantined: requests with it are refused.","request_fingerprint":"f-1","time":"2026-01-02T09:50:02.000Z"}
{"instance":"entry-2","id":"r-1","part":"request","msg":"Attempt failed.","request_fingerprint":"f-2","time":"2026-01-02T09:50:00.000Z"}
{"instance":"entry-1","id":"r-2","part":"request","msg":"Request ended.","status":503,"prompt_parts":["p-1"],"request_fingerprint":"f-2","time":"2026-01-02T10:00:00.000Z"}
`

func TestRefusalOfAWholeRequestIsExplainedByTheCrashesOfOtherEntriesMinutesBefore(t *testing.T) {
	events := readLogs(t, requestQuarantineLog).EventsOf("r-2")
	var seen []string
	for _, event := range events {
		seen = append(seen, event.Instance+" "+event.Message)
	}
	require.Equal(t, []string{
		"entry-2 A server crashed while requests waited for their answers.",
		"entry-2 A request fingerprint is quarantined: requests with it are refused.",
		"entry-1 Request ended.",
	}, seen, "another request and a prompt part of the same name explain nothing")
}
