package edit_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/standin/store"
	"currantusher.dev/tables"
	"currantusher.dev/tables/edit"
)

func pool(name core.PoolName) tables.Pool {
	return tables.Pool{
		Name:   name,
		Group:  core.Group("group-" + name),
		Kind:   tables.PoolService,
		Limits: tables.Limits{ColdRequests: 1, WarmRequests: 2},
	}
}

func baseRows() tables.Rows {
	return tables.Rows{
		Routes:      []tables.Route{{Name: "chat", Pool: "a"}},
		Pools:       []tables.Pool{pool("a"), pool("b")},
		DataCentres: []tables.DataCentreRow{{Name: "north", Region: "hill", State: tables.DataCentreIn}},
		Teams:       []tables.TeamRow{{Name: "red", Weight: 1}},
	}
}

func newEditor(t *testing.T) (*store.Memory, *edit.Editor) {
	t.Helper()
	memory := store.NewMemory(store.Config{Seed: 1})
	editor := edit.New(edit.Config{Tables: memory, Retention: 10})
	_, err := editor.Apply(t.Context(), edit.Request{ID: "base", Set: baseRows()})
	require.NoError(t, err)
	return memory, editor
}

func putRow(t *testing.T, memory *store.Memory, table, key string, value any) {
	t.Helper()
	content, err := json.Marshal(value)
	require.NoError(t, err)
	require.NoError(t, memory.Commit(t.Context(), platform.Transaction{
		Puts: []platform.Put{{RowKey: platform.RowKey{Table: table, Key: key}, Value: content}},
	}))
}

func TestApply(t *testing.T) {
	_, editor := newEditor(t)
	request := edit.Request{
		ID:         "e1",
		IfRevision: 1,
		Set:        tables.Rows{Routes: []tables.Route{{Name: "chat", Pool: "b"}}},
	}
	dryRun := request
	dryRun.DryRun = true
	result, err := editor.Apply(t.Context(), dryRun)
	require.NoError(t, err)
	require.Equal(t, []string{`~ routes chat pool: "a" -> "b"`}, result.Changes)
	require.Equal(t, core.Revision(1), result.Revision)

	result, err = editor.Apply(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, core.Revision(2), result.Revision)
	require.Equal(t, core.PoolName("b"), result.Rows.Routes[0].Pool)

	repeat, err := editor.Apply(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, result.Revision, repeat.Revision)
	require.Equal(t, result.Changes, repeat.Changes)

	request.Set = tables.Rows{}
	_, err = editor.Apply(t.Context(), request)
	require.Equal(t, core.CodeKeyReused, core.CodeOf(err))

	records, err := editor.History(t.Context(), 5)
	require.NoError(t, err)
	require.Len(t, records, 2)
	require.Equal(t, "e1", records[0].EditID)
}

func TestApplyRefusals(t *testing.T) {
	_, editor := newEditor(t)
	cases := []struct {
		name    string
		request edit.Request
		code    core.Code
		detail  string
	}{
		{"old revision", edit.Request{ID: "x", IfRevision: 9}, core.CodeRevisionConflict, "9"},
		{"dangling", edit.Request{ID: "x", DeletePools: []core.PoolName{"a"}}, core.CodeDanglingJoin, `"chat"`},
		{"invalid", edit.Request{ID: "x", Set: tables.Rows{Teams: []tables.TeamRow{{Name: "blue"}}}}, core.CodeInvalidRow, "weight"},
		{"missing", edit.Request{ID: "x", DeleteTeams: []core.Team{"blue"}}, core.CodeUnknownEntity, "blue"},
		{"no id", edit.Request{}, core.CodeInvalidField, "edit_id"},
		{"not kept", edit.Request{ID: "x", RollbackTo: 7}, core.CodeUnknownEntity, "7"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := editor.Apply(t.Context(), test.request)
			require.Equal(t, test.code, core.CodeOf(err), "%v", err)
			require.Equal(t, core.ExecutionNotRun, core.ExecutionOf(err))
			require.Contains(t, err.Error(), test.detail)
			head, err := editor.Head(t.Context())
			require.NoError(t, err)
			require.Equal(t, core.Revision(1), head)
		})
	}
}

func TestRollback(t *testing.T) {
	_, editor := newEditor(t)
	for i := range 4 {
		_, err := editor.Apply(t.Context(), edit.Request{
			ID:  fmt.Sprint("e", i),
			Set: tables.Rows{Teams: []tables.TeamRow{{Name: "red", Weight: i + 2}}},
		})
		require.NoError(t, err)
	}
	diff, err := editor.Diff(t.Context(), 1, 3)
	require.NoError(t, err)
	require.Equal(t, []string{"~ teams red weight: 1 -> 3"}, diff)
	result, err := editor.Apply(t.Context(), edit.Request{ID: "back", RollbackTo: 2})
	require.NoError(t, err)
	require.Equal(t, core.Revision(6), result.Revision)
	require.Equal(t, 2, result.Rows.Teams[0].Weight)
}

func TestRetentionBoundsTheHistory(t *testing.T) {
	memory, editor := newEditor(t)
	for i := range 30 {
		_, err := editor.Apply(t.Context(), edit.Request{ID: fmt.Sprint("e", i)})
		require.NoError(t, err)
	}
	rows, err := memory.Scan(t.Context(), "config-history", "config-edits")
	require.NoError(t, err)
	require.Len(t, rows, 20)
	_, err = editor.Apply(t.Context(), edit.Request{ID: "back", RollbackTo: 21})
	require.Equal(t, core.CodeUnknownEntity, core.CodeOf(err))
}

func TestDirectEdits(t *testing.T) {
	memory, editor := newEditor(t)
	putRow(t, memory, tables.TableTeams, "red", tables.TeamRow{Name: "red", Weight: 7})
	putRow(t, memory, tables.TableRoutes, "chat", tables.Route{Name: "chat", Pool: "nowhere"})
	putRow(t, memory, tables.TablePools, "b", "not a pool")
	putRow(t, memory, tables.TableRoutes, "bad", tables.Route{Name: "bad", Pool: "a", DeadlineMillis: -1})
	require.NoError(t, memory.Commit(t.Context(), platform.Transaction{
		Deletes: []platform.RowKey{{Table: tables.TablePools, Key: "a"}},
	}))

	faults, err := editor.AcceptDirectEdits(t.Context())
	require.NoError(t, err)
	codes := map[string]core.Code{}
	for _, fault := range faults {
		codes[fault.Table+"/"+fault.Key] = fault.Code
	}
	require.Equal(t, map[string]core.Code{
		"pools/a":     core.CodeDanglingJoin,
		"pools/b":     core.CodeUnreadableRow,
		"routes/bad":  core.CodeInvalidRow,
		"routes/chat": core.CodeDanglingJoin,
	}, codes)

	rows, _, err := editor.Load(t.Context())
	require.NoError(t, err)
	require.Equal(t, core.Revision(2), rows.Revision)
	require.Equal(t, 7, rows.Teams[0].Weight)
	require.Equal(t, core.PoolName("a"), rows.Routes[0].Pool, "the accepted row is kept")
	require.Len(t, rows.Pools, 2)

	_, err = editor.Apply(t.Context(), edit.Request{ID: "fix", Set: baseRows(), DeleteRoutes: []core.RouteName{"bad"}})
	require.NoError(t, err)
	_, faults, err = editor.Load(t.Context())
	require.NoError(t, err)
	require.Empty(t, faults, "an edit overwrites faulty rows")
}

func TestDirectEditsAreAcceptedBeforeAnEdit(t *testing.T) {
	memory, editor := newEditor(t)
	putRow(t, memory, tables.TableTeams, "red", tables.TeamRow{Name: "red", Weight: 7})
	result, err := editor.Apply(t.Context(), edit.Request{ID: "e1", DeletePools: []core.PoolName{"b"}})
	require.NoError(t, err)
	require.Equal(t, core.Revision(3), result.Revision)
	require.Equal(t, 7, result.Rows.Teams[0].Weight)
}

// failingTables wraps a table service and replaces or fails some of its calls.
type failingTables struct {
	platform.Tables
	commit func(ctx context.Context, txn platform.Transaction) error
	scan   func() error
}

func (f failingTables) Commit(ctx context.Context, txn platform.Transaction) error {
	return f.commit(ctx, txn)
}

func (f failingTables) Scan(ctx context.Context, names ...string) ([]platform.Row, error) {
	if f.scan != nil {
		if err := f.scan(); err != nil {
			return nil, err
		}
	}
	return f.Tables.Scan(ctx, names...)
}

// TestLostCommitTakesEffectLate checks that an edit is not applied twice if the
// reply of its first commit is lost and that commit takes effect only after the
// retry. The late commit must fail.
func TestLostCommitTakesEffectLate(t *testing.T) {
	memory, _ := newEditor(t)
	var lateTransaction *platform.Transaction
	commits := 0
	lossyTables := failingTables{Tables: memory, commit: func(ctx context.Context, txn platform.Transaction) error {
		commits++
		if commits == 1 {
			lateTransaction = &txn
			return core.NewFailure(core.CodeStoreOutcomeLost, core.ExecutionUnknown, "lost")
		}
		return memory.Commit(ctx, txn)
	}}
	editor := edit.New(edit.Config{Tables: lossyTables})
	result, err := editor.Apply(t.Context(), edit.Request{ID: "e1"})
	require.NoError(t, err)
	require.Equal(t, core.Revision(2), result.Revision)
	require.Equal(t, core.CodeStoreConflict, core.CodeOf(memory.Commit(t.Context(), *lateTransaction)))
}

// TestConflictWithItsOwnLateCommitIsNoRefusal makes the lost commit of a first call
// take effect between the read and the commit of the repeat's only attempt.
func TestConflictWithItsOwnLateCommitIsNoRefusal(t *testing.T) {
	memory, _ := newEditor(t)
	var lateTransaction *platform.Transaction
	editor := edit.New(edit.Config{MaxAttempts: 1, Tables: failingTables{
		Tables: memory,
		commit: func(ctx context.Context, txn platform.Transaction) error {
			if lateTransaction == nil {
				lateTransaction = &txn
				return core.NewFailure(core.CodeStoreOutcomeLost, core.ExecutionUnknown, "lost")
			}
			require.NoError(t, memory.Commit(ctx, *lateTransaction))
			return memory.Commit(ctx, txn)
		},
	}})
	_, err := editor.Apply(t.Context(), edit.Request{ID: "e1"})
	require.Equal(t, core.CodeEditUnknown, core.CodeOf(err))
	result, err := editor.Apply(t.Context(), edit.Request{ID: "e1"})
	require.NoError(t, err)
	require.Equal(t, core.Revision(2), result.Revision)
}

func TestRefusalOfARepeatInAnOutageIsNotFinal(t *testing.T) {
	memory, _ := newEditor(t)
	down := false
	var lateTransaction platform.Transaction
	editor := edit.New(edit.Config{MaxAttempts: 1, Tables: failingTables{
		Tables: memory,
		commit: func(_ context.Context, txn platform.Transaction) error {
			lateTransaction = txn
			return core.NewFailure(core.CodeStoreOutcomeLost, core.ExecutionUnknown, "lost")
		},
		scan: func() error {
			if down {
				return core.NewRefusal(core.CodeStoreUnavailable, 0, "down")
			}
			return nil
		},
	}})
	_, err := editor.Apply(t.Context(), edit.Request{ID: "e1"})
	require.Equal(t, core.CodeEditUnknown, core.CodeOf(err))
	down = true
	_, err = editor.Apply(t.Context(), edit.Request{ID: "e1"})
	require.Equal(t, core.CodeStoreUnavailable, core.CodeOf(err))
	require.False(t, edit.IsFinal(core.CodeOf(err)))
	down = false
	require.NoError(t, memory.Commit(t.Context(), lateTransaction))
	result, err := editor.Apply(t.Context(), edit.Request{ID: "e1"})
	require.NoError(t, err)
	require.True(t, edit.IsFinal(core.CodeOf(err)))
	require.Equal(t, core.Revision(2), result.Revision)
}

func TestOutcomeStaysUnknownWhileTheStoreIsDown(t *testing.T) {
	memory, _ := newEditor(t)
	down := false
	editor := edit.New(edit.Config{MaxAttempts: 3, Tables: failingTables{
		Tables: memory,
		commit: func(context.Context, platform.Transaction) error {
			down = true
			return core.NewFailure(core.CodeStoreOutcomeLost, core.ExecutionUnknown, "lost")
		},
		scan: func() error {
			if down {
				return core.NewRefusal(core.CodeStoreUnavailable, 0, "down")
			}
			return nil
		},
	}})
	_, err := editor.Apply(t.Context(), edit.Request{ID: "e1"})
	require.Equal(t, core.CodeEditUnknown, core.CodeOf(err))
	require.Equal(t, core.ExecutionUnknown, core.ExecutionOf(err))
}

// TestHeadRaisedAfterRestore checks the procedure for a table service that was
// restored from a backup: the operator raises the head revision by hand, and the
// history starts again from there.
func TestHeadRaisedAfterRestore(t *testing.T) {
	memory, editor := newEditor(t)
	putRow(t, memory, "config-head", "head", map[string]any{"revision": 5000, "edit_id": "restored"})
	result, err := editor.Apply(t.Context(), edit.Request{ID: "after", DeletePools: []core.PoolName{"b"}})
	require.NoError(t, err)
	require.Equal(t, core.Revision(5001), result.Revision)
	_, err = editor.Apply(t.Context(), edit.Request{ID: "back", RollbackTo: 4995})
	require.Equal(t, core.CodeUnknownEntity, core.CodeOf(err))
	_, err = editor.Apply(t.Context(), edit.Request{ID: "back", RollbackTo: 5000})
	require.NoError(t, err)
}

func TestUnreadableHeadIsRefused(t *testing.T) {
	memory, editor := newEditor(t)
	putRow(t, memory, "config-head", "head", "garbage")
	_, err := editor.Head(t.Context())
	require.Equal(t, core.CodeUnreadableRow, core.CodeOf(err))
	_, err = editor.Apply(t.Context(), edit.Request{ID: "e1"})
	require.Equal(t, core.CodeUnreadableRow, core.CodeOf(err))
	require.Equal(t, core.ExecutionNotRun, core.ExecutionOf(err))
}
