package serve

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/bench/daemons"
	"currantusher.dev/bench/fleet"
	"currantusher.dev/bench/measure"
)

func TestServiceExperimentReportsAndPlotsEachRun(t *testing.T) {
	layout := fleet.SmallLayout()
	layout.DataCentres = layout.DataCentres[:2]
	layout.Groups[0].PerDataCentre = 1
	layout.Groups[1].PerDataCentre = 1
	plotPath := filepath.Join(t.TempDir(), "service.svg")
	var reports []measure.Report
	err := Run(t.Context(), Config{
		Layout:       layout,
		Hooks:        daemons.Hooks(daemons.Config{}),
		Seed:         3,
		Rate:         20,
		WeightsBytes: 1 << 20,
		Duration:     5 * time.Second,
		Faults:       []string{"data-centre-out@1s+2s", "answers-crossed@2s"},
		Plot:         plotPath,
		Log:          t.Logf,
	}, func(report measure.Report) error {
		reports = append(reports, report)
		return nil
	})
	require.NoError(t, err, "%+v", reports)
	require.Len(t, reports, 1)
	require.Positive(t, reports[0].RequestsWhole)
	for _, path := range []string{plotPath, filepath.Join(filepath.Dir(plotPath), "service-latency.svg")} {
		content, err := os.ReadFile(path)
		require.NoError(t, err)
		require.Contains(t, string(content), "<svg")
	}
}

func TestUnknownFaultIsRejected(t *testing.T) {
	err := Run(t.Context(), Config{Faults: []string{"flood@1s"}}, func(measure.Report) error { return nil })
	require.ErrorContains(t, err, `fault "flood"`)
}
