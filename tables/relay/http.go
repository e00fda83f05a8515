package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core/netdial"
	"currantusher.dev/platform/rowstore"
)

// Path is where Handler serves.
const Path = "/relay/"

const (
	fieldSince = "since"
	fieldWait  = "wait"
	// maxWait bounds how long a question waits for changes. A silent relay is
	// noticed a little later.
	maxWait = time.Second
	// answerTime is what a question may take beside its wait: a large
	// configuration takes 0.1 s within a data centre.
	answerTime = 600 * time.Millisecond
	// dialTimeout bounds the wait for a connection within a data centre.
	dialTimeout = 300 * time.Millisecond
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 32 << 20
	idleConns      = 4
)

// Handler serves what a Recorder holds to other daemons.
func Handler(r *Recorder, log *logrus.Entry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path+"{table}", func(w http.ResponseWriter, request *http.Request) {
		page, status := answer(r, request)
		switch status {
		case NotCurrent:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case TooOld:
			w.WriteHeader(http.StatusGone)
			return
		}
		body, err := cbor.Marshal(page)
		if err != nil {
			log.WithError(err).Error("Rows not encoded.")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		// A failed write concerns the asking daemon, which asks again.
		_, _ = w.Write(body)
	})
	return mux
}

func answer(r *Recorder, request *http.Request) (rowstore.Page, Status) {
	table := request.PathValue("table")
	query := request.URL.Query()
	since, err := strconv.ParseUint(query.Get(fieldSince), 10, 64)
	if err != nil {
		// A question without a revision asks for all rows.
		return r.All(table)
	}
	wait, err := time.ParseDuration(query.Get(fieldWait))
	if err != nil || wait > maxWait {
		wait = maxWait
	}
	ctx, cancel := context.WithTimeout(request.Context(), wait)
	defer cancel()
	return r.Since(ctx, table, since)
}

// client asks the Handlers of other daemons.
type client struct{ http *http.Client }

func newClient() *client {
	return &client{http: &http.Client{Transport: &http.Transport{
		DialContext: netdial.New(dialTimeout).DialContext, MaxIdleConnsPerHost: idleConns, DisableCompression: true,
	}}}
}

func (c *client) all(ctx context.Context, addr, table string) (rowstore.Page, error) {
	return c.get(ctx, "http://"+addr+Path+url.PathEscape(table), answerTime)
}

func (c *client) since(ctx context.Context, addr, table string, since uint64, wait time.Duration) (rowstore.Page, error) {
	wait = min(wait, maxWait)
	query := url.Values{fieldSince: {strconv.FormatUint(since, 10)}, fieldWait: {wait.String()}}
	return c.get(ctx, "http://"+addr+Path+url.PathEscape(table)+"?"+query.Encode(), wait+answerTime)
}

func (c *client) get(ctx context.Context, address string, timeout time.Duration) (rowstore.Page, error) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, address, nil)
	if err != nil {
		return rowstore.Page{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return rowstore.Page{}, err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return rowstore.Page{}, rowstore.ErrHistoryGone
	default:
		return rowstore.Page{}, fmt.Errorf("relay: status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return rowstore.Page{}, err
	}
	var page rowstore.Page
	if err := cbor.Unmarshal(body, &page); err != nil {
		return rowstore.Page{}, fmt.Errorf("relay: %w", err)
	}
	return page, nil
}
