package obs

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core/endless"
	"currantusher.dev/core/httpcall"
	"currantusher.dev/core/netdial"
)

func TestAnswerWithoutEndIsLoggedOnce(t *testing.T) {
	logger, hook := test.NewNullLogger()
	server, err := endless.Start(endless.Bodies()["chunks"])
	require.NoError(t, err)
	client := httpcall.New(httpcall.Config{Dial: netdial.New(time.Minute).DialContext, Faults: AnswerFaults(logger.WithField("component", "weights"))})
	for range 3 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Addr, nil)
		require.NoError(t, err)
		response, err := client.Do(request, httpcall.Answer{Kind: "report", MaxBodyBytes: 1000})
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		require.Error(t, err)
		require.NoError(t, response.Body.Close())
	}
	server.Close()
	require.Len(t, hook.AllEntries(), 1)
	require.Equal(t, logrus.WarnLevel, hook.LastEntry().Level)
	require.Equal(t, server.Addr, hook.LastEntry().Data["server"])
	require.Equal(t, "report", hook.LastEntry().Data["answer"])
	require.EqualValues(t, 1000, hook.LastEntry().Data["limit"])
}
