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
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	closeTimeout      = 5 * time.Second
	sweepInterval     = time.Minute
	sweepRows         = 500
)

func (e *Entry) serveHTTP(ctx context.Context) error {
	handler, err := e.handler()
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
		closeServer(server)
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

// closeServer lets calls that came after the drain end, for a short time.
func closeServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}

func (e *Entry) handler() (http.Handler, error) {
	implementation := &api{entry: e}
	server, err := oas.NewServer(implementation, implementation, implementation, oas.WithErrorHandler(writeInputError))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	obs.RegisterHandlers(mux, e.registry, e.ready)
	mux.Handle("/v1/", http.MaxBytesHandler(server, int64(e.config.MaxBodyBytes)))
	return e.closeWhileDraining(mux), nil
}

// closeWhileDraining asks callers of a leaving entry not to reuse their
// connections.
func (e *Entry) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.life.Draining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// writeInputError answers a request that the generated server refused.
func writeInputError(_ context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	var security *ogenerrors.SecurityError
	if errors.As(err, &security) {
		err = core.NewRefusal(core.CodeUnauthorized, 0, "an operator's bearer token is required")
	}
	problem := convert.Problem(inputError(err), "")
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
	if e.life.Draining() {
		return core.NewRefusal(core.CodeDraining, 0, "leaving")
	}
	return e.spread.CheckFresh(time.Now())
}

// sweepClaims deletes claims past their retention until ctx ends.
func (e *Entry) sweepClaims(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if _, err := e.ledger.DeleteExpired(ctx, sweepRows); err != nil {
			e.log.request.WithError(err).Debug("Claims not swept.")
		}
	}
}
