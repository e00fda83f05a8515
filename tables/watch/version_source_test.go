package watch

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"currantusher.dev/platform/rowstore"
)

// ageLog returns the fields of the log lines that tell the age of a version.
func ageLog(hook *logtest.Hook) []logrus.Fields {
	var list []logrus.Fields
	for _, entry := range hook.AllEntries() {
		if entry.Data["source"] != nil {
			list = append(list, logrus.Fields{"source": entry.Data["source"], "age_ms": entry.Data["age_ms"]})
		}
	}
	return list
}

func TestLogTellsWhereTheAgeOfAVersionComesFrom(t *testing.T) {
	now := start
	logger, hook := logtest.NewNullLogger()
	f := NewFollower(Config{Now: func() time.Time { return now }, Log: logrus.NewEntry(logger)})
	require.True(t, f.Import(Snapshot{Table: OperatorTable, NewestRevision: 5, Cursor: 5, Rows: []rowstore.Row{versionRow(1, 5)}}))
	importVersion(t, f, 2, 6)
	now = now.Add(4 * time.Second)
	importVersion(t, f, 3, 7)
	now = now.Add(time.Second - time.Millisecond)
	f.ReportVersion(VersionReport{Model: "m", Version: 3, Since: start.Add(2 * time.Second), SentAfter: now, Source: SourceAgent})
	f.ReportVersion(VersionReport{Model: "m", Version: 3, Since: start.Add(1500 * time.Millisecond), SentAfter: now, Source: SourceGossip})
	f.ReportVersion(VersionReport{Model: "m", Version: 3, Since: start.Add(1490 * time.Millisecond), SentAfter: now, Source: SourceEntry})
	require.Equal(t, []logrus.Fields{
		{"source": SourceStart, "age_ms": nil},
		{"source": SourceRead, "age_ms": int64(0)},
		{"source": SourceStandstill, "age_ms": int64(4000)},
		{"source": SourceAgent, "age_ms": int64(2999)},
		{"source": SourceGossip, "age_ms": int64(3499)},
	}, ageLog(hook))
}
