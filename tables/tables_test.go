package tables

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

func servicePool(name core.PoolName, group core.Group) Pool {
	return Pool{Name: name, Group: group, Kind: PoolService, Limits: Limits{ColdRequests: 1, WarmRequests: 1}}
}

func TestCompileListsMissingPools(t *testing.T) {
	_, err := Compile(Rows{Routes: []Route{{Name: "b", Pool: "y"}, {Name: "a", Pool: "x"}}})
	require.Equal(t, core.CodeDanglingJoin, core.CodeOf(err))
	require.ErrorContains(t, err, `route "a" refers to missing pool "x"; route "b" refers to missing pool "y"`)
}

func TestChanges(t *testing.T) {
	before, err := Rows{Teams: []TeamRow{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}}.Set()
	require.NoError(t, err)
	after, err := Rows{Teams: []TeamRow{{Name: "b", Weight: 2}, {Name: "c", Weight: 3}}}.Set()
	require.NoError(t, err)
	changes := Changes(before, after)
	require.Equal(t, []string{
		"- teams a",
		"~ teams b weight: 1 -> 2",
		`+ teams c {"name":"c","weight":3}`,
	}, Describe(changes))
	after.Revert(changes)
	require.True(t, after.Equal(before))
}

// drawSet draws rows with only three names, so that routes often refer to
// missing pools and several pools often have the same group.
func drawSet(t *rapid.T, label string, faulty bool) Set {
	set := Set{}
	names := []string{"a", "b", "c"}
	for _, name := range names {
		if rapid.Bool().Draw(t, label+" pool "+name) {
			group := rapid.SampledFrom(names).Draw(t, label+" group "+name)
			require.NoError(t, set.Put(servicePool(core.PoolName(name), core.Group(group))))
		}
		if rapid.Bool().Draw(t, label+" route "+name) {
			target := rapid.SampledFrom(names).Draw(t, label+" target "+name)
			require.NoError(t, set.Put(Route{Name: core.RouteName(name), Pool: core.PoolName(target)}))
		}
		if faulty && rapid.IntRange(0, 3).Draw(t, label+" fault "+name) == 0 {
			table := rapid.SampledFrom(Names()).Draw(t, label+" table "+name)
			set[platform.RowKey{Table: table, Key: name}] = json.RawMessage(rapid.SampledFrom([]string{
				"", "{", "null", `{"name":"` + name + `"}`, `{"name":"other"}`, "[]",
			}).Draw(t, label+" value "+name))
		}
	}
	return set
}

// TestRandomMergeDirectEdit draws direct edits with unreadable and invalid
// rows, missing pools and duplicate groups. The merged rows always compile, and
// each of them has its direct or its accepted value. A row without a fault has
// its direct value.
func TestRandomMergeDirectEdit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accepted, _ := MergeDirectEdit(Set{}, drawSet(t, "accepted", false))
		direct := drawSet(t, "direct", true)
		next, faults := MergeDirectEdit(accepted, direct)
		rows, err := next.Rows(1)
		require.NoError(t, err)
		_, err = Compile(rows)
		require.NoError(t, err)

		faulty := map[platform.RowKey]bool{}
		for _, fault := range faults {
			require.NotEqual(t, core.CodeInternal, fault.Code)
			faulty[platform.RowKey{Table: fault.Table, Key: fault.Key}] = true
		}
		for key := range next {
			if !faulty[key] {
				require.JSONEq(t, string(direct[key]), string(next[key]))
				continue
			}
			require.Equal(t, accepted[key], next[key])
		}
		for key := range direct {
			_, kept := next[key]
			require.True(t, kept || faulty[key], "%v", key)
		}
		again, _ := MergeDirectEdit(next, next)
		require.True(t, again.Equal(next))
	})
}

// FuzzDecodeRow decodes arbitrary bytes as a row of an arbitrary table. An
// accepted row has the name in its key, and decoding its canonical encoding
// returns the same row.
func FuzzDecodeRow(f *testing.F) {
	f.Add("routes", "chat", []byte(`{"name":"chat","pool":"a","objective_ratio":0.9}`))
	f.Add("pools", "a", []byte(`{"name":"a","group":"g","kind":"service","limits":{"cold_requests":1,"warm_requests":2}}`))
	f.Add("data-centres", "n", []byte(`{"name":"n","region":"r","state":"out"}`))
	f.Add("teams", "t", []byte(`{"name":"t","weight":1}`))
	f.Add("teams", "t", []byte(`{"name":"t","weight":1e400}`))
	f.Add("unknown", "t", []byte(`{}`))
	f.Fuzz(func(t *testing.T, table, name string, value []byte) {
		key := platform.RowKey{Table: table, Key: name}
		row, err := DecodeRow(key, value)
		if err != nil {
			code := core.CodeOf(err)
			require.True(t, code == core.CodeUnreadableRow || code == core.CodeInvalidRow, "%v", err)
			require.Equal(t, core.ExecutionNotRun, core.ExecutionOf(err))
			return
		}
		require.Equal(t, key, row.Key())
		set := Set{}
		require.NoError(t, set.Put(row))
		again, err := DecodeRow(key, set[key])
		require.NoError(t, err)
		require.Equal(t, row, again)
	})
}
