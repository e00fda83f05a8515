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

// unreliableTables is a table service that sometimes is unavailable, and
// sometimes loses the reply of a commit before or after that takes effect.
type unreliableTables struct {
	platform.Tables
	mu     sync.Mutex
	random *rand.Rand
}

func (f *unreliableTables) chance(probability float64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.Float64() < probability
}

func (f *unreliableTables) delay() {
	f.mu.Lock()
	d := time.Duration(f.random.IntN(20)) * time.Millisecond
	f.mu.Unlock()
	time.Sleep(d)
}

func (f *unreliableTables) Scan(ctx context.Context, names ...string) ([]platform.Row, error) {
	f.delay()
	if f.chance(0.05) {
		return nil, core.NewRefusal(core.CodeStoreUnavailable, 0, "unavailable")
	}
	return f.Tables.Scan(ctx, names...)
}

func (f *unreliableTables) Commit(ctx context.Context, txn platform.Transaction) error {
	f.delay()
	if f.chance(0.05) {
		return core.NewRefusal(core.CodeStoreThrottled, 0, "busy")
	}
	if f.chance(0.1) {
		// The commit takes effect, if at all, after the caller has got the error.
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

// editInput is the input of an operation: an edit of a team's weight, or a read
// if id is "".
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

// editState is the state of the sequential specification.
type editState struct {
	revision core.Revision
	weights  [3]int
}

var teamNames = []core.Team{"a", "b", "c"}

func (s editState) weightsText() string { return fmt.Sprint(s.weights) }

var editModel = porcupine.Model{
	Init: func() any { return editState{revision: 1, weights: [3]int{1, 1, 1}} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(editState), input.(editInput), output.(editOutput)
		if in.id == "" {
			return out.revision == s.revision && out.weights == s.weightsText(), s
		}
		if out.code != core.CodeOK {
			refused := in.ifRevision == 0 || out.code != core.CodeRevisionConflict || in.ifRevision != s.revision
			return refused, s
		}
		if out.revision != s.revision+1 || (in.ifRevision != 0 && in.ifRevision != s.revision) {
			return false, s
		}
		s.revision = out.revision
		for i, team := range teamNames {
			if team == in.team {
				s.weights[i] = in.weight
			}
		}
		return true, s
	},
}

// TestRandomEdits makes concurrent edits through several editors while replies
// are lost before and after commits take effect. All edits and reads must be
// linearizable, the final history must contain every accepted edit exactly once,
// and it must not contain any rejected edit.
func TestRandomEdits(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runConcurrentEdits(t, seed) })
		})
	}
}

func runConcurrentEdits(t *testing.T, seed uint64) {
	const operators, edits = 5, 8
	memory := store.NewMemory(store.Config{ReadsPerSecond: 1e6, WritesPerSecond: 1e6})
	reliableEditor := edit.New(edit.Config{Tables: memory})
	var rows []tables.TeamRow
	for _, team := range teamNames {
		rows = append(rows, tables.TeamRow{Name: team, Weight: 1})
	}
	_, err := reliableEditor.Apply(t.Context(), edit.Request{ID: "base", Set: tables.Rows{Teams: rows}})
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
		editor := edit.New(edit.Config{MaxAttempts: 6, Tables: &unreliableTables{
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
					team:   teamNames[random.IntN(len(teamNames))],
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
	checkHistory(t, reliableEditor, history)
}

func readOutput(rows tables.Rows) editOutput {
	s := editState{}
	for i, team := range rows.Teams {
		s.weights[i] = team.Weight
	}
	return editOutput{revision: rows.Revision, weights: s.weightsText()}
}

// maxRepeats bounds the repeats of an edit whose outcome is unknown.
const maxRepeats = 8

// applyOnce makes the edit. If its outcome is unknown, it repeats the edit with
// the same id until an answer is final. A refusal of a repeat that is not final
// leaves the outcome unknown.
func applyOnce(t *testing.T, editor *edit.Editor, in editInput) editOutput {
	request := edit.Request{
		ID:         in.id,
		IfRevision: in.ifRevision,
		Set:        tables.Rows{Teams: []tables.TeamRow{{Name: in.team, Weight: in.weight}}},
	}
	result, err := editor.Apply(t.Context(), request)
	if core.CodeOf(err) != core.CodeEditUnknown {
		return editOutput{code: core.CodeOf(err), revision: result.Revision}
	}
	for range maxRepeats {
		result, err = editor.Apply(t.Context(), request)
		if edit.IsFinal(core.CodeOf(err)) {
			return editOutput{code: core.CodeOf(err), revision: result.Revision}
		}
	}
	return editOutput{code: core.CodeEditUnknown}
}

// checkHistory determines unknown outcomes of edits from the editor's history,
// and checks that this agrees with all known outcomes and that the operations
// are linearizable.
func checkHistory(t *testing.T, editor *edit.Editor, history []porcupine.Operation) {
	records, err := editor.History(t.Context(), 1000)
	require.NoError(t, err)
	found := map[string]core.Revision{}
	for i, record := range records {
		require.Equal(t, core.Revision(len(records)-i), record.Revision)
		require.Zero(t, found[record.EditID], "edit %q is in the history twice", record.EditID)
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
			require.False(t, kept, "edit %q was rejected with %v but took effect", in.id, out.code)
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
