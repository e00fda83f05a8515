package gateway

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"

	"currantusher.dev/daemon/obs"
	"currantusher.dev/daemon/roster"
	"currantusher.dev/platform/endpoints"
	"currantusher.dev/tables/relay"
	"currantusher.dev/tables/versionages"
)

// httpServer is an HTTP server with its listener.
type httpServer struct {
	listener net.Listener
	server   *http.Server
}

func (s httpServer) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", s.listener.Addr(), err)
	}
	return nil
}

// listen opens all listeners; the one for callers comes first.
func (g *Gateway) listen() ([]httpServer, error) {
	n := g.config.Node
	var servers []httpServer
	add := func(addr string, server *http.Server) error {
		if addr == "" {
			return nil
		}
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		if addr == n.CallerAddr {
			listener = callerListener{headCapturingListener{listener, g.maxHeaderBytes}, g.callerMemory}
		}
		if limits, ok := g.listenerLimits(addr); ok {
			bounded := obs.LimitListener(g.registry, g.log, listener, limits)
			bounded.Configure(server)
			listener = bounded
		}
		server.ErrorLog = stdlog.New(g.log.WriterLevel(debugLevel), "", 0)
		servers = append(servers, httpServer{listener: listener, server: server})
		return nil
	}
	return servers, errors.Join(
		add(n.CallerAddr, &http.Server{
			Handler:        http.HandlerFunc(g.serve),
			ConnState:      g.conns.onStateChange,
			ConnContext:    withConn,
			MaxHeaderBytes: serverHeaderBytes,
		}),
		add(n.ReadyAddr, auxiliaryServer(endpoints.ReadinessHandler(g.isReady))),
		add(n.DirectoryAddr, auxiliaryServer(endpoints.DirectoryHandler(g.resolve))),
		add(n.PeerAddr, g.peerServer()),
		add(g.config.MetricsAddr, auxiliaryServer(g.metricsHandler())),
	)
}

func auxiliaryServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler}
}

func (g *Gateway) peerServer() *http.Server {
	server := auxiliaryServer(g.peerHandler())
	server.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return versionages.WithAcceptTime(ctx, g.clock.Now())
	}
	return server
}

func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+rowsPath+"{table}", g.serveRows)
	snapshots := relay.NewSnapshots(g.store, nil, roster.EntriesTable, roster.AgentsTable)
	mux.Handle("POST "+versionages.Path, versionages.Handler(g.versionAges, g.onVersionAges, g.clock.Now, g.log))
	mux.Handle(relay.Path, relay.Handler(g.relayCache, snapshots, g.log))
	return mux
}

func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	obs.RegisterHandlers(mux, g.registry, func() error {
		if g.isReady() {
			return nil
		}
		return errors.New("not ready")
	})
	return mux
}
