package relay

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
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
	// answerTime is what an answer may take to begin beside the question's wait.
	answerTime = 600 * time.Millisecond
	// bodyTime is what an answer may take in all: a dozen daemons ask a relay
	// for a large configuration at once.
	bodyTime = 3 * time.Second
	// packedFrom is the length from which on answers are compressed;
	// configurations shrink to a tenth.
	packedFrom = 4 << 10
	encoding   = "gzip"
	// dialTimeout bounds the wait for a connection within a data centre.
	dialTimeout = 300 * time.Millisecond
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 32 << 20
	idleConns      = 4
)

// Handler serves what a Recorder holds to other daemons.
func Handler(r *Cache, log *logrus.Entry) http.Handler {
	mux := http.NewServeMux()
	encoded := &bodies{}
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
		body, err := encoded.get(request.URL.RequestURI(), page)
		if err != nil {
			log.WithError(err).Error("Rows not encoded.")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		if body.packed {
			w.Header().Set("Content-Encoding", encoding)
		}
		// A failed write concerns the asking daemon, which asks again.
		_, _ = w.Write(body.bytes)
	})
	return mux
}

func answer(r *Cache, request *http.Request) (rowstore.Page, Status) {
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
		ResponseHeaderTimeout: maxWait + answerTime,
	}}}
}

func (c *client) all(ctx context.Context, addr, table string) (rowstore.Page, error) {
	return c.get(ctx, "http://"+addr+Path+url.PathEscape(table))
}

func (c *client) since(ctx context.Context, addr, table string, since uint64, wait time.Duration) (rowstore.Page, error) {
	query := url.Values{fieldSince: {strconv.FormatUint(since, 10)}, fieldWait: {min(wait, maxWait).String()}}
	return c.get(ctx, "http://"+addr+Path+url.PathEscape(table)+"?"+query.Encode())
}

func (c *client) get(ctx context.Context, address string) (rowstore.Page, error) {
	bounded, cancel := context.WithTimeout(ctx, maxWait+bodyTime)
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
	body, err := readBody(response)
	if err != nil {
		return rowstore.Page{}, err
	}
	var page rowstore.Page
	if err := cbor.Unmarshal(body, &page); err != nil {
		return rowstore.Page{}, fmt.Errorf("relay: %w", err)
	}
	return page, nil
}

func readBody(response *http.Response) ([]byte, error) {
	var reader io.Reader = response.Body
	if response.Header.Get("Content-Encoding") == encoding {
		unpacked, err := gzip.NewReader(response.Body)
		if err != nil {
			return nil, err
		}
		reader = unpacked
	}
	return io.ReadAll(io.LimitReader(reader, maxAnswerBytes))
}

// body is an encoded answer.
type body struct {
	bytes  []byte
	packed bool
}

// bodies keeps the last large answer, since most daemons ask for the same one.
type bodies struct {
	mu       sync.Mutex
	question string
	revision uint64
	last     body
}

func (b *bodies) get(question string, page rowstore.Page) (body, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last.packed && b.question == question && b.revision == page.Revision {
		return b.last, nil
	}
	plain, err := cbor.Marshal(page)
	if err != nil {
		return body{}, err
	}
	if len(plain) < packedFrom {
		return body{bytes: plain}, nil
	}
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return body{}, err
	}
	if _, err := writer.Write(plain); err != nil {
		return body{}, err
	}
	if err := writer.Close(); err != nil {
		return body{}, err
	}
	b.question, b.revision, b.last = question, page.Revision, body{bytes: packed.Bytes(), packed: true}
	return b.last, nil
}
