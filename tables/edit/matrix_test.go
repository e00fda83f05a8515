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

// faultyTables is a table service with a fault at one step of an edit.
type faultyTables struct {
	*store.Memory
	// These hooks run before a scan, before a commit takes effect and after a
	// commit has taken effect. The call returns the hook's error, if any.
	beforeScan, beforeCommit, afterCommit func() error
}

func runHook(hook func() error) error {
	if hook == nil {
		return nil
	}
	return hook()
}

func (s *faultyTables) Scan(ctx context.Context, names ...string) ([]platform.Row, error) {
	if err := runHook(s.beforeScan); err != nil {
		return nil, err
	}
	return s.Memory.Scan(ctx, names...)
}

func (s *faultyTables) Commit(ctx context.Context, txn platform.Transaction) error {
	if err := runHook(s.beforeCommit); err != nil {
		return err
	}
	if err := s.Memory.Commit(ctx, txn); err != nil {
		return err
	}
	if err := runHook(s.afterCommit); err != nil {
		// The client returns this code for any commit that was sent but got no
		// reply.
		return core.Wrap(err, core.CodeStoreOutcomeLost, core.ExecutionUnknown, "reply lost")
	}
	return nil
}

// TestFaultMatrixEdit injects each fault at the read, the write and the reply of
// an edit, once and permanently. The error code must agree with the history, no
// edit may be applied partially, and a repeat with the same id after the fault
// must return the only accepted revision. The steps relay, adopt and acknowledge
// are covered by TestFaultMatrixEditSpread.
func TestFaultMatrixEdit(t *testing.T) {
	unavailable := func() error { return core.NewRefusal(core.CodeStoreUnavailable, 0, "down") }
	throttled := func() error { return core.NewRefusal(core.CodeStoreThrottled, 0, "busy") }
	lost := func() error { return core.NewFailure(core.CodeStoreOutcomeLost, core.ExecutionUnknown, "lost") }
	steps := map[string]func(s *faultyTables, hook func() error){
		"read":  func(s *faultyTables, hook func() error) { s.beforeScan = hook },
		"write": func(s *faultyTables, hook func() error) { s.beforeCommit = hook },
		"reply": func(s *faultyTables, hook func() error) { s.afterCommit = hook },
	}
	faults := map[string]func(t *testing.T, s *faultyTables) error{
		"down":      func(*testing.T, *faultyTables) error { return unavailable() },
		"throttled": func(*testing.T, *faultyTables) error { return throttled() },
		"lost":      func(*testing.T, *faultyTables) error { return lost() },
		"lost, then down": func(_ *testing.T, s *faultyTables) error {
			s.SetFaults(store.Faults{Down: true})
			return lost()
		},
		"slow": func(*testing.T, *faultyTables) error {
			time.Sleep(5 * time.Second)
			return nil
		},
		"other edit meanwhile": func(t *testing.T, s *faultyTables) error {
			_, err := edit.New(edit.Config{Tables: s.Memory}).Apply(context.Background(), edit.Request{ID: "other", Set: otherTeam()})
			require.NoError(t, err)
			return nil
		},
		"direct edit": func(t *testing.T, s *faultyTables) error {
			value := []byte(`{"name":"direct","weight":4}`)
			key := platform.RowKey{Table: tables.TableTeams, Key: "direct"}
			require.NoError(t, s.Memory.Commit(context.Background(), platform.Transaction{Puts: []platform.Put{{RowKey: key, Value: value}}}))
			return nil
		},
		"stale reads": func(_ *testing.T, s *faultyTables) error {
			s.SetFaults(store.Faults{StaleReads: true})
			return nil
		},
	}
	for step, setHook := range steps {
		for name, fault := range faults {
			for _, lasting := range []bool{false, true} {
				t.Run(caseName(step, name, lasting), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := &faultyTables{Memory: store.NewMemory(store.Config{})}
						_, err := edit.New(edit.Config{Tables: s}).Apply(t.Context(), edit.Request{ID: "base", Set: baseRows()})
						require.NoError(t, err)
						calls := 0
						setHook(s, func() error {
							calls++
							if calls > 1 && !lasting {
								return nil
							}
							return fault(t, s)
						})
						requireConsistentResult(t, s, func() { setHook(s, nil) })
						require.Positive(t, calls)
					})
				})
			}
		}
	}
}

func caseName(step, fault string, lasting bool) string {
	if lasting {
		return step + "/" + fault + "/permanent"
	}
	return step + "/" + fault + "/once"
}

func otherTeam() tables.Rows {
	return tables.Rows{Teams: []tables.TeamRow{{Name: "other", Weight: 5}}}
}

func requireConsistentResult(t *testing.T, s *faultyTables, clearFault func()) {
	t.Helper()
	request := edit.Request{ID: "e1", Set: tables.Rows{
		Routes: []tables.Route{{Name: "new", Pool: "c"}},
		Pools:  []tables.Pool{pool("c")},
	}}
	editor := edit.New(edit.Config{Tables: s, MaxAttempts: 4})
	result, err := editor.Apply(t.Context(), request)
	clearFault()
	s.SetFaults(store.Faults{})

	records, historyErr := editor.History(t.Context(), 100)
	require.NoError(t, historyErr)
	count := 0
	for _, record := range records {
		if record.EditID != request.ID {
			continue
		}
		count++
		require.Len(t, record.Changes, 2, "the edit is applied as a whole")
		if err == nil {
			require.Equal(t, result.Revision, record.Revision)
		}
	}
	require.LessOrEqual(t, count, 1)
	if err == nil {
		require.Equal(t, 1, count, "the accepted edit is in the history")
	}
	if core.ExecutionOf(err) == core.ExecutionNotRun {
		require.Zero(t, count, "%v", err)
	}
	again, err := editor.Apply(t.Context(), request)
	require.NoError(t, err)
	if count == 1 {
		require.Len(t, again.Changes, 2, "the repeat returns the first result")
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
