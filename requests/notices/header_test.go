package notices

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const leavingName = "X-Leaving"

func TestParseRetryAfter(t *testing.T) {
	date := "Fri, 04 Dec 2026 08:00:00 GMT"
	cases := []struct {
		value, date string
		want        time.Duration
		wantErr     bool
	}{
		{value: ""},
		{value: "0"},
		{value: "2", want: 2 * time.Second},
		{value: "0.25", want: 250 * time.Millisecond},
		{value: "599.5", want: 599500 * time.Millisecond},
		{value: "601", want: MaxPause},
		{value: "1e300", want: MaxPause},
		{value: "1e999", want: MaxPause},
		{value: "99999999999999999999999999", want: MaxPause},
		{value: "1e-999"},
		{value: "-1", wantErr: true},
		{value: "-1e999", wantErr: true},
		{value: "NaN", wantErr: true},
		{value: "Inf", wantErr: true},
		{value: "-Inf", wantErr: true},
		{value: "soon", wantErr: true},
		{value: "1, 2", wantErr: true},
		{value: "Fri, 04 Dec 2026 08:00:03 GMT", date: date, want: 3 * time.Second},
		{value: "Fri, 04 Dec 2426 08:00:03 GMT", date: date, want: MaxPause},
		{value: "Fri, 04 Dec 2026 07:59:59 GMT", date: date, wantErr: true},
		{value: "Fri, 04 Dec 2026 08:00:03 GMT", wantErr: true},
		{value: "Fri, 04 Dec 2026 08:00:03 GMT", date: "today", wantErr: true},
	}
	for _, c := range cases {
		t.Run(c.value, func(t *testing.T) {
			header := http.Header{}
			header.Set(RetryAfterHeader, c.value)
			header.Set(dateHeader, c.date)
			got, err := ParseRetryAfter(header)
			require.Equal(t, c.wantErr, err != nil, "%v", err)
			require.Equal(t, c.want, got)
		})
	}
}

func TestParseLeaving(t *testing.T) {
	cases := []struct {
		name    string
		values  []string
		want    bool
		wantErr bool
	}{
		{name: "absent"},
		{name: "leaving", values: []string{"1"}, want: true},
		{name: "not leaving", values: []string{"0"}},
		{name: "second line", values: []string{"0", "1"}, want: true},
		{name: "empty", values: []string{""}, wantErr: true},
		{name: "other value", values: []string{"yes"}, wantErr: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := ParseLeaving(http.Header{leavingName: c.values}, leavingName)
			require.Equal(t, c.want, got)
			require.Equal(t, c.wantErr, err != nil)
		})
	}
}

func FuzzNoticeHeaders(f *testing.F) {
	for _, value := range []string{"1", "0.5", "-0", "1e309", "nan", "0x1p-3", "1_0", "Fri, 04 Dec 2026 08:00:00 GMT", "\xff"} {
		f.Add(value, "Fri, 04 Dec 2026 07:00:00 GMT", "1")
	}
	f.Fuzz(func(t *testing.T, retryAfter, date, leaving string) {
		header := http.Header{RetryAfterHeader: {retryAfter}, dateHeader: {date}, leavingName: {leaving}}
		pause, err := ParseRetryAfter(header)
		require.GreaterOrEqual(t, pause, time.Duration(0))
		require.LessOrEqual(t, pause, MaxPause)
		if err != nil {
			require.Zero(t, pause)
		}
		isLeaving, err := ParseLeaving(header, leavingName)
		require.Equal(t, leaving == "1", isLeaving)
		require.False(t, isLeaving && err != nil)
		s := NewSet()
		s.Record(testEpoch, server, Notice{Leaving: isLeaving, Pause: pause})
		require.Equal(t, isLeaving, s.State(after(MaxPause), server).Reason != Open, "every pause ends")
	})
}
