package edit_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/standin/store"
	"currantusher.dev/tables"
	"currantusher.dev/tables/edit"
)

// stepped is a table service with a fault at one step of an edit.
type stepped struct {
	*store.Memory
	// read, write and answer run before a scan, before a commit takes effect
	// and after it took effect. An error is the outcome of the call.
	read, write, answer func() error
}

func run(hook func() error) error {
	if hook == nil {
		return nil
	}
	return hook()
}

func (s *stepped) Scan(ctx context.Context, names ...string) ([]platform.Row, error) {
	if err := run(s.read); err != nil {
		return nil, err
	}
	return s.Memory.Scan(ctx, names...)
}

func (s *stepped) Commit(ctx context.Context, txn platform.Transaction) error {
	if err := run(s.write); err != nil {
		return err
	}
	if err := s.Memory.Commit(ctx, txn); err != nil {
		return err
	}
	if err := run(s.answer); err != nil {
		// The client reports any missing answer after a commit was sent so.
		return core.Wrap(err, core.CodeStoreOutcomeLost, core.ExecutionUnknown, "answer lost")
	}
	return nil
}

// TestFaultMatrixEdit has each fault at the read, the write and the answer of
// an edit, once and for good. The edit's code always agrees with the history,
// nothing is half applied, and asking again with the same id once the fault is
// over gives the one accepted revision. The steps relay, adopt and acknowledge
// are in TestFaultMatrixEditSpread.
func TestFaultMatrixEdit(t *testing.T) {
	unavailable := func() error { return core.NewRefusal(core.CodeStoreUnavailable, 0, "down") }
	throttled := func() error { return core.NewRefusal(core.CodeStoreThrottled, 0, "busy") }
	lost := func() error { return core.NewFailure(core.CodeStoreOutcomeLost, core.ExecutionUnknown, "lost") }
	steps := map[string]func(s *stepped, hook func() error){
		"read":   func(s *stepped, hook func() error) { s.read = hook },
		"write":  func(s *stepped, hook func() error) { s.write = hook },
		"answer": func(s *stepped, hook func() error) { s.answer = hook },
	}
	faults := map[string]func(t *testing.T, s *stepped) error{
		"down":      func(*testing.T, *stepped) error { return unavailable() },
		"throttled": func(*testing.T, *stepped) error { return throttled() },
		"lost":      func(*testing.T, *stepped) error { return lost() },
		"lost, then down": func(_ *testing.T, s *stepped) error {
			s.SetFaults(store.Faults{Down: true})
			return lost()
		},
		"slow": func(*testing.T, *stepped) error {
			time.Sleep(5 * time.Second)
			return nil
		},
		"paused past another edit": func(t *testing.T, s *stepped) error {
			_, err := edit.New(edit.Config{Tables: s.Memory}).Apply(context.Background(), edit.Request{ID: "other", Set: otherTeam()})
			require.NoError(t, err)
			return nil
		},
		"direct edit": func(t *testing.T, s *stepped) error {
			value := []byte(`{"name":"direct","weight":4}`)
			key := platform.RowKey{Table: tables.TableTeams, Key: "direct"}
			require.NoError(t, s.Memory.Commit(context.Background(), platform.Transaction{Puts: []platform.Put{{RowKey: key, Value: value}}}))
			return nil
		},
		"old reads": func(_ *testing.T, s *stepped) error {
			s.SetFaults(store.Faults{StaleReads: true})
			return nil
		},
	}
	for step, set := range steps {
		for name, fault := range faults {
			for _, lasting := range []bool{false, true} {
				t.Run(caseName(step, name, lasting), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := &stepped{Memory: store.NewMemory(store.Config{})}
						_, err := edit.New(edit.Config{Tables: s}).Apply(t.Context(), edit.Request{ID: "base", Set: base()})
						require.NoError(t, err)
						hits := 0
						set(s, func() error {
							hits++
							if hits > 1 && !lasting {
								return nil
							}
							return fault(t, s)
						})
						requireConsistent(t, s, func() { set(s, nil) })
						require.Positive(t, hits)
					})
				})
			}
		}
	}
}

func caseName(step, fault string, lasting bool) string {
	if lasting {
		return step + "/" + fault + "/for good"
	}
	return step + "/" + fault + "/once"
}

func otherTeam() tables.Rows {
	return tables.Rows{Teams: []tables.TeamRow{{Name: "other", Weight: 5}}}
}

func requireConsistent(t *testing.T, s *stepped, heal func()) {
	t.Helper()
	request := edit.Request{ID: "e1", Set: tables.Rows{
		Routes: []tables.Route{{Name: "new", Pool: "c"}},
		Pools:  []tables.Pool{pool("c")},
	}}
	editor := edit.New(edit.Config{Tables: s, Tries: 4})
	result, err := editor.Apply(t.Context(), request)
	heal()
	s.SetFaults(store.Faults{})

	records, historyErr := editor.History(t.Context(), 100)
	require.NoError(t, historyErr)
	count := 0
	for _, record := range records {
		if record.EditID != request.ID {
			continue
		}
		count++
		require.Len(t, record.Changes, 2, "nothing is half applied")
		if err == nil {
			require.Equal(t, result.Revision, record.Revision)
		}
	}
	require.LessOrEqual(t, count, 1)
	if err == nil {
		require.Equal(t, 1, count, "accepted")
	}
	if core.ExecutionOf(err) == core.ExecutionNotRun {
		require.Zero(t, count, "%v", err)
	}
	again, err := editor.Apply(t.Context(), request)
	require.NoError(t, err)
	if count == 1 {
		require.Len(t, again.Changes, 2, "the first result")
	}
	rows, faults, err := editor.Load(t.Context())
	require.NoError(t, err)
	require.Empty(t, faults)
	config, err := tables.Compile(rows)
	require.NoError(t, err)
	route, ok := config.Route("new")
	require.True(t, ok)
	_, ok = config.Pool(route.Pool)
	require.True(t, ok)
}
