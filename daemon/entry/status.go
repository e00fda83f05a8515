package entry

import (
	"context"
	"time"

	"currantusher.dev/api/oas"
	"currantusher.dev/core"
	"currantusher.dev/members"
	"currantusher.dev/platform"
	"currantusher.dev/report"
	"currantusher.dev/tables"
)

// agentToAPI converts an agent to its type in the API.
func agentToAPI(group core.Group, agent members.Agent) oas.Daemon {
	return oas.Daemon{
		Instance:        string(agent.Instance),
		Role:            string(platform.RoleAgent),
		DataCentre:      string(agent.DataCentre),
		Group:           oas.NewOptString(string(group)),
		State:           agent.State.String(),
		Address:         oas.NewOptString(agent.PeerAddr),
		Incarnation:     oas.NewOptInt64(int64(agent.Incarnation)),
		Revision:        int64(agent.Revision),
		Weights:         oas.NewOptString(digestString(agent.Weights)),
		TargetWeights:   oas.NewOptString(digestString(agent.Target)),
		ChunksDone:      oas.NewOptInt(agent.ChunksDone),
		ChunksTotal:     oas.NewOptInt(agent.ChunksTotal),
		Running:         oas.NewOptInt(agent.Running),
		Limit:           oas.NewOptInt(agent.Limit),
		Temperature:     oas.NewOptString(agent.Temperature.String()),
		ConfigAgeMillis: oas.NewOptInt64(agent.ConfigAge.Milliseconds()),
	}
}

func rowFaultsToAPI(faults []tables.RowFault) []oas.RowFault {
	result := make([]oas.RowFault, 0, len(faults))
	for _, fault := range faults {
		result = append(result, oas.RowFault{
			Table:  fault.Table,
			Key:    fault.Key,
			Code:   int(fault.Code),
			Detail: fault.Detail,
		})
	}
	return result
}

// burnToAPI converts a burn report to its type in the API.
func burnToAPI(burn report.Report) *oas.BurnReport {
	result := &oas.BurnReport{Series: []oas.BurnSeries{}}
	for _, series := range burn.Series {
		converted := oas.BurnSeries{
			Route:           string(series.Route),
			Team:            string(series.Team),
			ObjectiveMillis: oas.NewOptInt64(series.ObjectiveMillis),
			ObjectiveRatio:  series.ObjectiveRatio,
			Alert:           oas.OptString{Value: string(series.Alert), Set: series.Alert != report.SeverityNone},
			Windows:         []oas.BurnWindow{},
		}
		for _, window := range series.Windows {
			converted.Windows = append(converted.Windows, oas.BurnWindow{
				WindowSeconds: window.Seconds,
				Total:         window.Total,
				Bad:           window.Bad,
				BurnRate:      window.BurnRate,
			})
		}
		result.Series = append(result.Series, converted)
	}
	return result
}

func (e *Entry) burnReport() report.Report { return e.burn.Report(time.Now()) }

// sendHeartbeatOnNewRevision sends a heartbeat immediately after each new
// configuration revision, until ctx ends.
func (e *Entry) sendHeartbeatOnNewRevision(ctx context.Context) error {
	e.spread.Subscribe(func(current *tables.Config) {
		e.log.config.WithField("revision", current.Revision()).Info("Using a new configuration revision.")
		e.reporter.ReportNow()
	})
	<-ctx.Done()
	return nil
}
