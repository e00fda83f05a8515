package gateway

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/core/fleet"
	"currantusher.dev/daemon/obs"
	"currantusher.dev/platform/headers"
	"currantusher.dev/platform/nodefile"
	"currantusher.dev/platform/rowstore"
	"currantusher.dev/platform/standin"
	"currantusher.dev/requests/notices"
	"currantusher.dev/requests/placement"
	"currantusher.dev/tables/watch"
)

const testService = "plain"

// listedGateway is a gateway that does not run, with servers of one service that are
// listed in a store.
type listedGateway struct {
	*Gateway
	t       *testing.T
	store   *rowstore.Client
	servers []*standin.Backend
}

// newListedGateway lists a server without an engine in each of the data centres.
func newListedGateway(t *testing.T, dataCentres ...string) *listedGateway {
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	store.PutConfig(fleet.Configuration{Version: 1, IsOpen: true, Services: []fleet.Service{{Name: testService, MaxConns: 100}}})
	regions := map[core.DataCentre]core.Region{}
	for _, dataCentre := range dataCentres {
		regions[core.DataCentre(dataCentre)] = core.Region("region-" + dataCentre)
	}
	g, err := New(Config{
		Node: nodefile.Node{
			Instance: "e-1", PeerAddr: "127.0.0.1:0", CallerAddr: "127.0.0.1:0", StoreAddr: server.Listener.Addr().String(),
			DataCentre: core.DataCentre(dataCentres[0]), Regions: regions,
		},
		Headers: headers.Names(), AddressTTL: DefaultAddressTTL, QueueLength: 1, MaxAnswerBytes: 1, Deadline: time.Second, Log: obs.DiscardLogger(),
	})
	require.NoError(t, err)
	l := &listedGateway{Gateway: g, t: t, store: rowstore.New(server.Listener.Addr().String())}
	for i, dataCentre := range dataCentres {
		b := &standin.Backend{ID: fmt.Sprintf("s-%d", i), Service: testService, Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: dataCentre, Store: store}
		b.Start(0)
		l.servers = append(l.servers, b)
	}
	l.read()
	return l
}

// read reads the rows of the store.
func (l *listedGateway) read() {
	for _, table := range []string{watch.OperatorTable, watch.ServersTable} {
		page, err := l.store.ReadAll(l.t.Context(), table)
		require.NoError(l.t, err)
		l.follower.Import(watch.Snapshot{Table: table, NewestRevision: page.Revision, Cursor: page.Revision, Rows: page.Rows})
	}
}

func (l *listedGateway) lifetime(server int) notices.Lifetime {
	listed := l.follower.View().Server(testService, core.InstanceID(l.servers[server].ID))
	require.NotNil(l.t, listed)
	return lifetimeOf(listed)
}

func (l *listedGateway) announce(server int, notice notices.Notice) {
	observer{gateway: l.Gateway, service: testService}.NoticeReceived(l.lifetime(server), notice)
}

func (l *listedGateway) candidateIDs() []core.InstanceID {
	var ids []core.InstanceID
	for _, c := range l.candidates(l.services.placer(testService), requirements{service: testService}) {
		ids = append(ids, c.ID)
	}
	return ids
}

func TestClosedServersAreNoCandidatesUntilANewLifetime(t *testing.T) {
	l := newListedGateway(t, "a", "a", "b")
	require.Equal(t, []core.InstanceID{"s-0", "s-1", "s-2"}, l.candidateIDs())
	l.announce(0, notices.Notice{Leaving: true})
	l.announce(1, notices.Notice{Pause: time.Hour})
	require.Equal(t, []core.InstanceID{"s-2"}, l.candidateIDs())
	check := observer{gateway: l.Gateway, service: testService}.CheckOpen
	for server := range 2 {
		err := check(l.lifetime(server))
		require.Equal(t, core.CodeServerClosed, core.CodeOf(err))
		require.Equal(t, core.ExecutionNotRun, core.ExecutionOf(err))
	}
	require.NoError(t, check(l.lifetime(2)))
	closed := l.closedServers(time.Now(), testService)
	require.Len(t, closed, 2)
	require.Equal(t, "s-0 leaving", closed[0])
	require.Contains(t, closed[1], "s-1 paused for ")

	oldLifetime := l.lifetime(0)
	l.servers[0].Start(0)
	l.read()
	require.Equal(t, []core.InstanceID{"s-0", "s-2"}, l.candidateIDs())
	require.NoError(t, check(l.lifetime(0)))
	require.Error(t, check(oldLifetime), "a request for the old process must not reach the new one")
	l.sweepNotices(time.Now())
	require.Equal(t, []core.InstanceID{"s-0", "s-2"}, l.candidateIDs())
}

// The log must name the reason of a placement, which explain prints.
func TestLogNamesTheAnnouncements(t *testing.T) {
	l := newListedGateway(t, "a", "a", "b")
	hook := logtest.NewLocal(l.log.Logger)
	for range 2 {
		l.announce(0, notices.Notice{Leaving: true})
		l.announce(1, notices.Notice{Pause: time.Minute})
	}
	require.Len(t, hook.AllEntries(), 2, "an announcement is logged once")
	require.Equal(t, core.InstanceID("s-0"), hook.AllEntries()[0].Data["server"])
	require.EqualValues(t, 60000, hook.AllEntries()[1].Data["pause_ms"])
	for name, want := range map[string]int64{"servers.leaving_notices": 1, "servers.pause_notices": 2} {
		require.Equal(t, want, metrics.GetOrRegisterCounter(name, l.registry).Count(), name)
	}

	hook.Reset()
	trace := callTrace{gateway: l.Gateway, call: &call{id: "r-1", service: testService}}
	trace.Placed(1, placement.Candidate{ID: "s-2"}, 1, 0)
	require.Len(t, hook.LastEntry().Data["closed"], 2)
	l.sweepNotices(time.Now())
	require.EqualValues(t, 2, metrics.GetOrRegisterGauge("servers.closed", l.registry).Value())
}

// Another server at a reused address must not inherit the announcement.
func TestServerAtAReusedAddressIsOpen(t *testing.T) {
	l := newListedGateway(t, "a", "a")
	l.announce(0, notices.Notice{Leaving: true})
	l.servers[0].ID = "s-9"
	l.servers[0].Start(0)
	l.read()
	require.Equal(t, []core.InstanceID{"s-1", "s-9"}, l.candidateIDs())
}

func TestClosureRespectsTheConditionsOfARequest(t *testing.T) {
	l := newListedGateway(t, "a", "a", "b")
	inA := requirements{service: testService, regions: [][]core.Region{{"region-a"}}}
	anywhere := requirements{service: testService}
	require.Nil(t, l.closure(inA))
	l.announce(0, notices.Notice{Leaving: true})
	require.Nil(t, l.closure(inA))
	l.announce(1, notices.Notice{Pause: time.Minute})
	closure := l.closure(inA)
	require.NotNil(t, closure)
	require.WithinRange(t, closure.OpensAt, time.Now(), time.Now().Add(time.Minute))
	require.Equal(t, "no server accepts requests from this entry: 1 want a pause, 1 are leaving", closure.Detail)
	require.Nil(t, l.closure(anywhere), "a server in another region is open")

	l.servers[2].Drain()
	l.read()
	require.NotNil(t, l.closure(anywhere), "a server that leaves by its row does not count as open")
}

// The queue of a service filled a server at once when its pause ended.
func TestServerIsNotFilledAtOnceAfterItsPause(t *testing.T) {
	l := newListedGateway(t, "a")
	server := l.follower.View().Server(testService, "s-0")
	service := l.follower.View().Table.Service(testService)
	start := time.Now()
	require.Equal(t, server.Slots, l.concurrencyLimit(start, service, server))
	l.notices.Record(start, lifetimeOf(server), notices.Notice{Pause: 2 * time.Second})
	end := start.Add(2 * time.Second)
	require.Equal(t, 1, l.concurrencyLimit(end, service, server))
	require.Less(t, l.concurrencyLimit(end.Add(100*time.Millisecond), service, server), 4)
	require.Equal(t, server.Slots, l.concurrencyLimit(end.Add(time.Minute), service, server))

	timing := fleet.EngineTiming{StepTime: 10 * time.Millisecond, PrefillTokensPerSecond: 10000, MeanPromptTokens: 500, MeanAnswerTokens: 100}
	engine := &fleet.Service{Name: testService, Engine: &fleet.Engine{Timing: timing}}
	require.Equal(t, maxStartsAtPauseEnd, l.concurrencyLimit(end, engine, server))
	require.Equal(t, server.Slots, l.concurrencyLimit(end.Add(time.Minute), engine, server))
}
