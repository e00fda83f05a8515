package edit_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"currantusher.dev/core"
	"currantusher.dev/platform"
	"currantusher.dev/standin/store"
	"currantusher.dev/tables"
	"currantusher.dev/tables/edit"
)

// flaky is a table service that loses answers before and after the effect,
// and is away at times.
type flaky struct {
	platform.Tables
	mu     sync.Mutex
	random *rand.Rand
}

func (f *flaky) chance(probability float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < probability
}

func (f *flaky) delay() {
	f.mu.Lock()
	d := time.Duration(f.random.IntN(20)) * time.Millisecond
	f.mu.Unlock()
	time.Sleep(d)
}

func (f *flaky) Scan(ctx context.Context, names ...string) ([]platform.Row, error) {
	f.delay()
	if f.chance(0.05) {
		return nil, core.NewRefusal(core.CodeStoreUnavailable, 0, "away")
	}
	return f.Tables.Scan(ctx, names...)
}

func (f *flaky) Commit(ctx context.Context, txn platform.Transaction) error {
	f.delay()
	if f.chance(0.05) {
		return core.NewRefusal(core.CodeStoreThrottled, 0, "busy")
	}
	if f.chance(0.1) {
		// The commit takes effect, if at all, after the answer was given up.
		go func() {
			f.delay()
			f.delay()
			_ = f.Tables.Commit(context.Background(), txn)
		}()
		return core.NewFailure(core.CodeStoreOutcomeLost, core.ExecutionUnknown, "late")
	}
	err := f.Tables.Commit(ctx, txn)
	f.delay()
	if f.chance(0.2) {
		return core.NewFailure(core.CodeStoreOutcomeLost, core.ExecutionUnknown, "lost")
	}
	return err
}

// editInput is an operation of the history: an edit of the weight of a team,
// or a read when id is "".
type editInput struct {
	id         string
	team       core.Team
	weight     int
	ifRevision core.Revision
}

type editOutput struct {
	code     core.Code
	revision core.Revision
	weights  string
}

// editState is the sequential specification's state.
type editState struct {
	revision core.Revision
	weights  [3]int
}

var raceTeams = []core.Team{"a", "b", "c"}

func (s editState) show() string { return fmt.Sprint(s.weights) }

var editModel = porcupine.Model{
	Init: func() any { return editState{revision: 1, weights: [3]int{1, 1, 1}} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(editState), input.(editInput), output.(editOutput)
		if in.id == "" {
			return out.revision == s.revision && out.weights == s.show(), s
		}
		if out.code != core.CodeOK {
			refused := in.ifRevision == 0 || out.code != core.CodeRevisionConflict || in.ifRevision != s.revision
			return refused, s
		}
		if out.revision != s.revision+1 || (in.ifRevision != 0 && in.ifRevision != s.revision) {
			return false, s
		}
		s.revision = out.revision
		for i, team := range raceTeams {
			if team == in.team {
				s.weights[i] = in.weight
			}
		}
		return true, s
	},
}

// TestRandomEdits has operators race through several editors while answers are
// lost before and after the effect. The history of all edits and reads must be
// linearizable; every accepted edit stands in the final history exactly once
// and every refused one not at all.
func TestRandomEdits(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { raceEdits(t, seed) })
		})
	}
}

func raceEdits(t *testing.T, seed uint64) {
	const operators, edits = 5, 8
	memory := store.NewMemory(store.Config{ReadsPerSecond: 1e6, WritesPerSecond: 1e6})
	calm := edit.New(edit.Config{Tables: memory})
	var rows []tables.TeamRow
	for _, team := range raceTeams {
		rows = append(rows, tables.TeamRow{Name: team, Weight: 1})
	}
	_, err := calm.Apply(t.Context(), edit.Request{ID: "base", Set: tables.Rows{Teams: rows}})
	require.NoError(t, err)

	var mu sync.Mutex
	var history []porcupine.Operation
	record := func(operator int, in editInput, out editOutput, call time.Time) {
		mu.Lock()
		defer mu.Unlock()
		history = append(history, porcupine.Operation{
			ClientId: operator,
			Input:    in,
			Output:   out,
			Call:     call.UnixNano(),
			Return:   time.Now().UnixNano(),
		})
	}
	var wg sync.WaitGroup
	for operator := range operators {
		random := rand.New(rand.NewPCG(seed, uint64(operator)))
		editor := edit.New(edit.Config{Tries: 6, Tables: &flaky{
			Tables: memory,
			random: rand.New(rand.NewPCG(seed, uint64(operator)+100)),
		}})
		wg.Go(func() {
			for n := range edits {
				call := time.Now()
				read, _, err := editor.Load(t.Context())
				if err == nil {
					record(operator, editInput{}, readOutput(read), call)
				}
				in := editInput{
					id:     fmt.Sprintf("e-%d-%d", operator, n),
					team:   raceTeams[random.IntN(len(raceTeams))],
					weight: 2 + random.IntN(900),
				}
				if random.IntN(2) == 0 {
					in.ifRevision = read.Revision
				}
				call = time.Now()
				out := applyOnce(t, editor, in)
				record(operator, in, out, call)
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second)
	settle(t, calm, history)
}

func readOutput(rows tables.Rows) editOutput {
	s := editState{}
	for i, team := range rows.Teams {
		s.weights[i] = team.Weight
	}
	return editOutput{revision: rows.Revision, weights: s.show()}
}

// applyOnce makes the edit, and asks again with the same id while its outcome
// is unknown.
func applyOnce(t *testing.T, editor *edit.Editor, in editInput) editOutput {
	request := edit.Request{
		ID:         in.id,
		IfRevision: in.ifRevision,
		Set:        tables.Rows{Teams: []tables.TeamRow{{Name: in.team, Weight: in.weight}}},
	}
	for range 2 {
		result, err := editor.Apply(t.Context(), request)
		if core.CodeOf(err) != core.CodeEditUnknown {
			return editOutput{code: core.CodeOf(err), revision: result.Revision}
		}
	}
	return editOutput{code: core.CodeEditUnknown}
}

// settle resolves the edits whose outcome stayed unknown from the history and
// checks all of it.
func settle(t *testing.T, editor *edit.Editor, history []porcupine.Operation) {
	records, err := editor.History(t.Context(), 1000)
	require.NoError(t, err)
	found := map[string]core.Revision{}
	for i, record := range records {
		require.Equal(t, core.Revision(len(records)-i), record.Revision)
		require.Zero(t, found[record.EditID], "%q stands in the history twice", record.EditID)
		found[record.EditID] = record.Revision
	}
	var known []porcupine.Operation
	accepted := 0
	for _, operation := range history {
		in, out := operation.Input.(editInput), operation.Output.(editOutput)
		revision, kept := found[in.id]
		switch {
		case in.id == "":
		case out.code == core.CodeOK:
			accepted++
			require.Equal(t, out.revision, revision, "accepted edit %q", in.id)
		case out.code != core.CodeEditUnknown:
			require.False(t, kept, "edit %q was refused with %v but took effect", in.id, out.code)
		case kept:
			operation.Output = editOutput{revision: revision}
			operation.Return = time.Now().UnixNano()
		default:
			continue
		}
		known = append(known, operation)
	}
	require.Positive(t, accepted)
	require.True(t, porcupine.CheckOperations(editModel, known), "the history is not linearizable")
}
