package notices

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Names and values of the headers of an announcement. The name of the header of a
// leaving server is the platform's.
const (
	RetryAfterHeader = "Retry-After"
	dateHeader       = "Date"
	leavingValue     = "1"
	notLeavingValue  = "0"
)

// Reasons for which a header value is ignored.
var (
	errNotLeavingValue = errors.New("want 0 or 1")
	errNegative        = errors.New("the value is negative")
	errNotFinite       = errors.New("the time is not finite")
	errNoDate          = errors.New("a date needs the header Date, because clocks differ")
	errNoNumber        = errors.New("want a number of requests a second")
)

// ParseLeaving reports whether an answer announces that its server is leaving.
func ParseLeaving(header http.Header, name string) (bool, error) {
	values := header.Values(name)
	var err error
	for _, value := range values {
		switch value {
		case leavingValue:
			return true, nil
		case notLeavingValue:
		default:
			err = fmt.Errorf("value %q: %w", value, errNotLeavingValue)
		}
	}
	return false, err
}

// ParseRetryAfter returns the time in the Retry-After header of an answer, which is a
// number of seconds with or without a fraction, or a date. It returns 0 if there is no
// such header. The time is bounded by MaxPause. The value is ignored if it is not a
// number or negative: it does not tell which pause the server wants.
func ParseRetryAfter(header http.Header) (time.Duration, error) {
	text := header.Get(RetryAfterHeader)
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	switch {
	case errors.Is(err, strconv.ErrRange):
		// Too large for a number; the sign is that of the infinity returned.
	case err != nil:
		return parseRetryDate(text, header)
	case math.IsNaN(seconds) || math.IsInf(seconds, 0):
		return 0, fmt.Errorf("value %q: %w", text, errNotFinite)
	}
	if seconds < 0 {
		return 0, fmt.Errorf("value %q: %w", text, errNegative)
	}
	if seconds >= MaxPause.Seconds() {
		return MaxPause, nil
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// parseRetryDate returns the time from the date of the answer until the date in text.
func parseRetryDate(text string, header http.Header) (time.Duration, error) {
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, fmt.Errorf("value %q: %w", text, err)
	}
	sentAt, err := http.ParseTime(header.Get(dateHeader))
	if err != nil {
		return 0, fmt.Errorf("value %q: %w", text, errNoDate)
	}
	if until.Before(sentAt) {
		return 0, fmt.Errorf("value %q: %w", text, errNegative)
	}
	return min(until.Sub(sentAt), MaxPause), nil
}

// ParseRateLimit returns the number of requests a second in the header of an answer, or
// Unlimited if there is no such header. Of several values it returns the lowest. It
// returns false if no value is valid: the answer then does not tell whether the server
// has a limit.
func ParseRateLimit(header http.Header, name string) (perSecond float64, ok bool, err error) {
	values := header.Values(name)
	if len(values) == 0 {
		return Unlimited, true, nil
	}
	perSecond = Unlimited
	for text := range strings.SplitSeq(strings.Join(values, ","), ",") {
		value, valueErr := parseRate(strings.TrimSpace(text))
		if valueErr != nil {
			err = valueErr
			continue
		}
		perSecond, ok = min(perSecond, value), true
	}
	return perSecond, ok, err
}

func parseRate(text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	switch {
	case errors.Is(err, strconv.ErrRange):
		// Too large for a number; the sign is that of the infinity returned.
	case err != nil || math.IsNaN(value) || math.IsInf(value, 0):
		return 0, fmt.Errorf("value %q: %w", text, errNoNumber)
	}
	if value < 0 {
		return 0, fmt.Errorf("value %q: %w", text, errNegative)
	}
	return value, nil
}
