package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/sirupsen/logrus"

	"currantusher.dev/api/oas"
	"currantusher.dev/core"
	"currantusher.dev/core/netlimit"
	"currantusher.dev/daemon/convert"
	"currantusher.dev/daemon/obs"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	// bodyTimeout lets a caller send a body of 1 MiB at 280 kbit/s.
	bodyTimeout = 30 * time.Second
	// writeTimeout is the time in which a caller must read 64 KiB of its answer, or an event
	// that its connection has no room for. Streams have no bound on their length.
	writeTimeout = 30 * time.Second
	// maxHeadBytes is twice the limit of the operators' platform (16,384).
	maxHeadBytes = 32 << 10

	shutdownTimeout    = 5 * time.Second
	claimSweepInterval = time.Minute
	maxClaimsPerSweep  = 500
)

func (e *Entry) serveHTTP(ctx context.Context) error {
	handler, err := e.newHandler()
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ErrorLog: stdlog.New(e.log.main.WriterLevel(logrus.DebugLevel), "", 0)}
	bounded := obs.LimitListener(e.registry, e.log.main, e.listener, e.httpLimits())
	bounded.Configure(server)
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		shutdownServer(server)
	})
	var listener net.Listener = bounded
	if e.config.HTTPTLS != nil {
		listener = tls.NewListener(listener, e.config.HTTPTLS)
	}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		stop()
		return fmt.Errorf("http-listen: %w", err)
	}
	<-closed
	return nil
}

func (e *Entry) httpLimits() netlimit.Limits {
	return netlimit.Limits{
		Name: "api", Conns: e.config.MaxConns, HeadBytes: maxHeadBytes, BodyBytes: int64(e.config.MaxBodyBytes), TransferBytes: int64(e.config.TransferMemory),
		HeadTime: readHeaderTimeout, BodyTime: bodyTimeout, IdleTime: idleTimeout, WriteTime: writeTimeout,
	}
}

// shutdownServer waits up to shutdownTimeout for requests that arrived after the
// drain, then closes their connections.
func shutdownServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

func (e *Entry) newHandler() (http.Handler, error) {
	apiHandler := &api{entry: e}
	server, err := oas.NewServer(apiHandler, apiHandler, apiHandler, oas.WithErrorHandler(writeRequestError))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	obs.RegisterHandlers(mux, e.registry, e.ready)
	mux.Handle("/v1/", http.MaxBytesHandler(server, int64(e.config.MaxBodyBytes)))
	return e.closeConnsWhileDraining(mux), nil
}

// closeConnsWhileDraining sets "Connection: close" on all responses while the
// entry drains, so that callers do not reuse their connections.
func (e *Entry) closeConnsWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.lifecycle.Draining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// writeRequestError writes the problem for a request that the generated server
// rejected.
func writeRequestError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	var securityErr *ogenerrors.SecurityError
	if errors.As(err, &securityErr) {
		err = core.NewRefusal(core.CodeUnauthorized, 0, "the operator's bearer token is required")
	}
	problem := convert.ProblemFromError(classifyRequestError(err), "")
	body, encodeErr := problem.Response.MarshalJSON()
	if encodeErr != nil {
		http.Error(w, encodeErr.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(problem.StatusCode)
	_, _ = w.Write(body)
}

func (e *Entry) ready() error {
	if e.lifecycle.Draining() {
		return core.NewRefusal(core.CodeDraining, 0, "leaving")
	}
	return e.spread.CheckFresh(time.Now())
}

// deleteExpiredClaims periodically deletes claims past their retention until ctx
// ends.
func (e *Entry) deleteExpiredClaims(ctx context.Context) error {
	ticker := time.NewTicker(claimSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if _, err := e.ledger.DeleteExpired(ctx, maxClaimsPerSweep); err != nil {
			e.log.request.WithError(err).Debug("Could not delete expired claims; retrying at the next sweep.")
		}
	}
}
