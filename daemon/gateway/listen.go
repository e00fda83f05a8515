package gateway

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"currantusher.dev/daemon/obs"
	"currantusher.dev/platform/endpoints"
	"currantusher.dev/tables/relay"
)

// Bounds of the connections on addresses other than the callers'.
const (
	sideHeaderTimeout = 3 * time.Second
	sideIdleTimeout   = 30 * time.Second
	// defaultHeaderBytes is used until a configuration is known.
	defaultHeaderBytes = 16 << 10
)

// httpServer is one listener with its server.
type httpServer struct {
	listener net.Listener
	server   *http.Server
}

func (s httpServer) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", s.listener.Addr(), err)
	}
	return nil
}

// listen opens all listeners, the callers' first.
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
		if server.ConnContext != nil {
			listener = framedListener{listener}
		}
		server.ErrorLog = stdlog.New(g.log.WriterLevel(debugLevel), "", 0)
		servers = append(servers, httpServer{listener: listener, server: server})
		return nil
	}
	return servers, errors.Join(
		add(n.CallerAddr, &http.Server{
			Handler:        http.HandlerFunc(g.serve),
			ConnState:      g.conns.observe,
			ConnContext:    withConn,
			MaxHeaderBytes: g.headerBytes(),
		}),
		add(n.ReadyAddr, sideServer(endpoints.ReadinessHandler(g.isReady))),
		add(n.DirectoryAddr, sideServer(endpoints.DirectoryHandler(g.resolve))),
		add(n.PeerAddr, sideServer(g.peerHandler())),
		add(g.config.MetricsAddr, sideServer(g.metricsHandler())),
	)
}

func sideServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: sideHeaderTimeout, IdleTimeout: sideIdleTimeout}
}

func (g *Gateway) headerBytes() int {
	if bytes := g.limits().HeaderBytes; bytes > 0 {
		return bytes
	}
	return defaultHeaderBytes
}

func (g *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathRows+"{table}", g.serveRows)
	mux.Handle(relay.Path, relay.Handler(g.recorder, g.log))
	return mux
}

func (g *Gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	obs.Mount(mux, g.registry, func() error {
		if g.isReady() {
			return nil
		}
		return errors.New("not ready")
	})
	return mux
}
