package procs

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	childListenEnv  = "PROCS_CHILD_LISTEN"
	childExitStatus = 7
)

// TestMain runs a child process when childListenEnv or childPortsEnv is set, and
// the tests otherwise.
func TestMain(m *testing.M) {
	if os.Getenv(childPortsEnv) != "" {
		runPortsChild()
	}
	if listen := os.Getenv(childListenEnv); listen != "" {
		runChild(listen)
	}
	os.Exit(m.Run())
}

func runChild(listen string) {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	go func() {
		<-stop
		fmt.Println("stopping")
		os.Exit(childExitStatus)
	}()
	panic(http.ListenAndServe(listen, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})))
}

func startChild(t *testing.T) (*Process, string, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	listen, err := FreeTCP()
	require.NoError(t, err)
	p, err := Start(Config{Name: "child", Binary: os.Args[0], Env: []string{childListenEnv + "=" + listen}})
	require.NoError(t, err)
	t.Cleanup(p.Kill)
	url := "http://" + listen
	require.NoError(t, p.WaitHTTP(ctx, http.DefaultClient, url))
	return p, url, ctx
}

func TestTerminate(t *testing.T) {
	p, _, ctx := startChild(t)
	require.True(t, p.Running())
	require.NoError(t, p.Terminate())
	status, err := p.Wait(ctx)
	require.NoError(t, err)
	require.Equal(t, childExitStatus, status)
	require.Contains(t, p.Output(), "stopping")
}

func TestKill(t *testing.T) {
	p, url, ctx := startChild(t)
	p.Kill()
	require.False(t, p.Running())
	require.ErrorContains(t, p.WaitHTTP(ctx, http.DefaultClient, url), "child ended")
	status, err := p.Wait(ctx)
	require.NoError(t, err)
	require.Equal(t, -1, status)
}

func TestPausedProcessDoesNotAnswer(t *testing.T) {
	p, url, ctx := startChild(t)
	require.NoError(t, p.Pause())
	shortCtx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	require.ErrorIs(t, p.WaitHTTP(shortCtx, client, url), context.DeadlineExceeded)
	require.NoError(t, p.Resume())
	require.NoError(t, p.WaitHTTP(ctx, client, url))
}
