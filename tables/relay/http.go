package relay

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"currantusher.dev/core/httpcall"
	"currantusher.dev/core/netdial"
	"currantusher.dev/platform/rowstore"
)

// Path is the HTTP path prefix of Handler.
const Path = "/relay/"

const (
	paramSince = "since"
	paramWait  = "wait"
	// paramEra is the era of paramSince, or the least era of a request for all rows.
	paramEra = "era"
	// maxWait bounds the wait of a request for changes. The client detects a
	// relay that does not respond after headerTimeout more.
	maxWait = time.Second
	// headerTimeout bounds the time to the response headers, in addition to
	// maxWait.
	headerTimeout = 600 * time.Millisecond
	// bodyTimeout bounds the entire response, in addition to maxWait. It allows
	// for a dozen daemons that read a large configuration at the same time.
	bodyTimeout = 3 * time.Second
	// minCompressedBytes is the length from which responses are compressed.
	// Compression reduces configurations to a tenth.
	minCompressedBytes = 4 << 10
	contentEncoding    = "gzip"
	// ageHeader holds the Age of a page in milliseconds, rounded up.
	ageHeader = "Rows-Age-Ms"
	// dialTimeout bounds the connection setup, which stays within a data
	// centre.
	dialTimeout = 300 * time.Millisecond
	// maxResponseBytes bounds a response, before and after decompression. Larger tables are
	// read from the store.
	maxResponseBytes = 8 << 20
	maxIdleConns     = 4
)

// Handler serves the rows of a Cache to other daemons, and snapshots of the tables
// that the cache does not hold.
func Handler(cache *Cache, snapshots *Snapshots, log *logrus.Entry) http.Handler {
	mux := http.NewServeMux()
	cachedBodies := &bodyCache{}
	mux.HandleFunc("GET "+Path+"{table}", func(w http.ResponseWriter, request *http.Request) {
		page, status := readPage(cache, snapshots, request)
		switch status {
		case StatusNotCurrent:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case StatusTooOld:
			w.WriteHeader(http.StatusGone)
			return
		}
		body, err := cachedBodies.get(request.URL.RequestURI(), page)
		if err != nil {
			log.WithError(err).Error("Rows could not be encoded; the request fails.")
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set(ageHeader, strconv.FormatInt(int64(page.Age/time.Millisecond)+1, 10))
		if body.compressed {
			w.Header().Set("Content-Encoding", contentEncoding)
		}
		// A failed write is ignored, because the client retries.
		_, _ = w.Write(body.bytes)
	})
	return mux
}

func readPage(cache *Cache, snapshots *Snapshots, request *http.Request) (rowstore.Page, Status) {
	table := request.PathValue("table")
	query := request.URL.Query()
	// A request without an era is from a daemon that has seen none.
	era, _ := strconv.ParseUint(query.Get(paramEra), 10, 64)
	wait, err := time.ParseDuration(query.Get(paramWait))
	if err != nil || wait > maxWait {
		wait = maxWait
	}
	ctx, cancel := context.WithTimeout(request.Context(), wait)
	defer cancel()
	since, err := strconv.ParseUint(query.Get(paramSince), 10, 64)
	if err != nil {
		// A request without a revision is for all rows.
		if page, ok := snapshots.read(request.Context(), table, era); ok {
			return page, StatusServed
		}
		return cache.AllRows(ctx, table, era)
	}
	return cache.ChangesSince(ctx, table, rowstore.Position{Era: era, Revision: since})
}

// errOutdated reports that the store does not reply to a relay, or that the relay is in
// an earlier era than this daemon.
var errOutdated = errors.New("the relay has no recent reply from the store")

// client reads from the Handlers of other daemons.
type client struct{ http *httpcall.Client }

// rowsAnswer holds the bounds of a response.
var rowsAnswer = httpcall.Answer{Kind: "relay's rows", MaxBodyBytes: maxResponseBytes, Timeout: maxWait + bodyTimeout}

// newClient returns a client that reports answers over their bound to faults, which may be
// nil.
func newClient(faults *httpcall.Faults) *client {
	return &client{http: httpcall.New(httpcall.Config{
		Dial: netdial.New(dialTimeout).DialContext, MaxIdleConns: maxIdleConns, HeadTimeout: maxWait + headerTimeout, Faults: faults,
	})}
}

// readAll returns all rows of a table in an era of at least minEra.
func (c *client) readAll(ctx context.Context, addr, table string, minEra uint64) (rowstore.Page, error) {
	page, err := c.get(ctx, addr, table, url.Values{paramEra: {strconv.FormatUint(minEra, 10)}})
	if err == nil && page.Era < minEra {
		return rowstore.Page{}, errOutdated
	}
	return page, err
}

func (c *client) readChanges(ctx context.Context, addr, table string, since rowstore.Position, wait time.Duration) (rowstore.Page, error) {
	page, err := c.get(ctx, addr, table, url.Values{
		paramSince: {strconv.FormatUint(since.Revision, 10)}, paramEra: {strconv.FormatUint(since.Era, 10)}, paramWait: {min(wait, maxWait).String()},
	})
	if err == nil && page.Era != since.Era {
		return rowstore.Page{}, errOutdated
	}
	return page, err
}

func (c *client) get(ctx context.Context, addr, table string, query url.Values) (rowstore.Page, error) {
	address := "http://" + addr + Path + url.PathEscape(table) + "?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return rowstore.Page{}, err
	}
	response, err := c.http.Do(request, rowsAnswer)
	if err != nil {
		return rowstore.Page{}, err
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return rowstore.Page{}, rowstore.ErrHistoryGone
	case http.StatusServiceUnavailable:
		return rowstore.Page{}, errOutdated
	default:
		return rowstore.Page{}, fmt.Errorf("relay returned status %d", response.StatusCode)
	}
	body, err := c.readBody(request, response)
	if err != nil {
		return rowstore.Page{}, err
	}
	var page rowstore.Page
	if err := cbor.Unmarshal(body, &page); err != nil {
		return rowstore.Page{}, fmt.Errorf("decode response of relay: %w", err)
	}
	page.Age = pageAge(response.Header)
	return page, nil
}

// pageAge returns the Age of a page. That of a relay which does not tell it is less than
// maxReplyAge.
func pageAge(header http.Header) time.Duration {
	ms, err := strconv.ParseUint(header.Get(ageHeader), 10, 31)
	if err != nil {
		return 2 * maxReplyAge
	}
	return time.Duration(ms) * time.Millisecond
}

func (c *client) readBody(request *http.Request, response *http.Response) ([]byte, error) {
	var reader io.Reader = response.Body
	if response.Header.Get("Content-Encoding") == contentEncoding {
		decompressed, err := gzip.NewReader(response.Body)
		if err != nil {
			return nil, err
		}
		reader = c.http.BoundDecoded(decompressed, request, rowsAnswer, maxResponseBytes)
	}
	return io.ReadAll(reader)
}

// body is an encoded response.
type body struct {
	bytes      []byte
	compressed bool
}

// bodyCache holds the last compressed response, because most daemons request the
// same one.
type bodyCache struct {
	mu       sync.Mutex
	uri      string
	position rowstore.Position
	lastBody body
}

func (b *bodyCache) get(uri string, page rowstore.Page) (body, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lastBody.compressed && b.uri == uri && b.position == page.Position() {
		return b.lastBody, nil
	}
	plain, err := cbor.Marshal(page)
	if err != nil {
		return body{}, err
	}
	if len(plain) < minCompressedBytes {
		return body{bytes: plain}, nil
	}
	var compressed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&compressed, gzip.BestSpeed)
	if err != nil {
		return body{}, err
	}
	if _, err := writer.Write(plain); err != nil {
		return body{}, err
	}
	if err := writer.Close(); err != nil {
		return body{}, err
	}
	b.uri, b.position, b.lastBody = uri, page.Position(), body{bytes: compressed.Bytes(), compressed: true}
	return b.lastBody, nil
}
