package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"

	"currantusher.dev/api/oas"
	"currantusher.dev/core"
	"currantusher.dev/daemon/convert"
	"currantusher.dev/daemon/obs"
)

const (
	readHeaderTimeout  = 5 * time.Second
	idleTimeout        = 2 * time.Minute
	shutdownTimeout    = 5 * time.Second
	claimSweepInterval = time.Minute
	maxClaimsPerSweep  = 500
)

func (e *Entry) serveHTTP(ctx context.Context) error {
	handler, err := e.newHandler()
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		shutdownServer(server)
	})
	listener := e.listener
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
