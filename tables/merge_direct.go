package tables

import (
	"fmt"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// RowFault is a row of the table service whose stored value is rejected. The
// accepted value of the row, if any, is kept.
type RowFault struct {
	Table  string    `json:"table"`
	Key    string    `json:"key"`
	Code   core.Code `json:"code"`
	Detail string    `json:"detail"`
}

// MergeDirectEdit merges rows that were written directly to the table service
// into the accepted rows, and returns the merged rows and the rejected ones.
// accepted must compile. A row that is unreadable, invalid, in conflict or
// refers to a missing row keeps its accepted value; without one it is left
// out. A deleted pool that an accepted route needs is kept. The result always
// compiles.
func MergeDirectEdit(accepted, direct Set) (Set, []RowFault) {
	m := directMerge{accepted: accepted, merged: Set{}}
	for _, key := range direct.Keys() {
		m.addRow(key, direct[key])
	}
	for m.revertDanglingRows() || m.revertDuplicateGroups() {
	}
	return m.merged, m.faults
}

type directMerge struct {
	accepted Set
	merged   Set
	faults   []RowFault
}

func (m *directMerge) addRow(key platform.RowKey, value []byte) {
	row, err := DecodeRow(key, value)
	if err == nil {
		err = m.merged.Put(row)
	}
	if err != nil {
		m.revert(key, core.CodeOf(err), err.Error())
	}
}

// revert restores the accepted value of a row and records the fault.
func (m *directMerge) revert(key platform.RowKey, code core.Code, detail string) {
	m.faults = append(m.faults, RowFault{Table: key.Table, Key: key.Key, Code: code, Detail: detail})
	value, ok := m.accepted[key]
	if !ok {
		delete(m.merged, key)
		return
	}
	m.merged[key] = value
}

func (m *directMerge) isChanged(key platform.RowKey) bool {
	value, ok := m.merged[key]
	return !ok || !m.merged.hasSameValue(m.accepted, key, value)
}

// revertDanglingRows reverts the rows that leave a route without its pool. It
// reports whether it reverted any.
func (m *directMerge) revertDanglingRows() bool {
	rows := m.decodedRows()
	pools := map[core.PoolName]bool{}
	for _, pool := range rows.Pools {
		pools[pool.Name] = true
	}
	reverted := false
	for _, route := range rows.Routes {
		if pools[route.Pool] {
			continue
		}
		reverted = true
		m.revertDanglingRoute(route)
	}
	return reverted
}

func (m *directMerge) revertDanglingRoute(route Route) {
	detail := fmt.Sprintf("route %q refers to missing pool %q", route.Name, route.Pool)
	if m.isChanged(route.Key()) {
		m.revert(route.Key(), core.CodeDanglingJoin, detail)
		return
	}
	poolKey := Pool{Name: route.Pool}.Key()
	if _, present := m.merged[poolKey]; !present {
		m.revert(poolKey, core.CodeDanglingJoin, detail)
	}
}

// revertDuplicateGroups reverts changed pools that have the same group as
// another pool. It reports whether it reverted any.
func (m *directMerge) revertDuplicateGroups() bool {
	rows := m.decodedRows()
	poolsByGroup := map[core.Group][]Pool{}
	for _, pool := range rows.Pools {
		poolsByGroup[pool.Group] = append(poolsByGroup[pool.Group], pool)
	}
	reverted := false
	for _, pool := range rows.Pools {
		if len(poolsByGroup[pool.Group]) < 2 || !m.isChanged(pool.Key()) {
			continue
		}
		reverted = true
		m.revert(pool.Key(), core.CodeInvalidRow, fmt.Sprintf("pool %q: group %q belongs to another pool as well", pool.Name, pool.Group))
	}
	return reverted
}

// decodedRows returns the merged rows. Decoding cannot fail: addRow has decoded
// the direct values, and the accepted values compile.
func (m *directMerge) decodedRows() Rows {
	rows, _ := m.merged.Rows(0)
	return rows
}
