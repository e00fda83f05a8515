package tables

import (
	"fmt"

	"currantusher.dev/core"
	"currantusher.dev/platform"
)

// RowFault is a row of the table service that is not in force as it stands.
type RowFault struct {
	Table  string    `json:"table"`
	Key    string    `json:"key"`
	Code   core.Code `json:"code"`
	Detail string    `json:"detail"`
}

// Contain returns the rows that a direct edit of the tables puts in force, and
// the rows that it does not. accepted must compile. A row that is unreadable,
// invalid, dangling or in conflict keeps its accepted value, or stays out when
// it has none; a deleted pool that accepted routes need stays. The result
// always compiles.
func Contain(accepted, direct Set) (Set, []RowFault) {
	c := containment{accepted: accepted, next: Set{}}
	for _, key := range direct.Keys() {
		c.read(key, direct[key])
	}
	for c.revertJoin() || c.revertGroups() {
	}
	return c.next, c.faults
}

type containment struct {
	accepted Set
	next     Set
	faults   []RowFault
}

func (c *containment) read(key platform.RowKey, value []byte) {
	row, err := DecodeRow(key, value)
	if err == nil {
		err = c.next.Put(row)
	}
	if err != nil {
		c.revert(key, core.CodeOf(err), err.Error())
	}
}

// revert puts the accepted value of a row back.
func (c *containment) revert(key platform.RowKey, code core.Code, detail string) {
	c.faults = append(c.faults, RowFault{Table: key.Table, Key: key.Key, Code: code, Detail: detail})
	value, ok := c.accepted[key]
	if !ok {
		delete(c.next, key)
		return
	}
	c.next[key] = value
}

func (c *containment) changed(key platform.RowKey) bool {
	value, ok := c.next[key]
	return !ok || !c.next.sameAt(c.accepted, key, value)
}

// revertJoin reverts the rows that leave a route without its pool. It reports
// whether it reverted any.
func (c *containment) revertJoin() bool {
	rows := c.decoded()
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
		c.revertDangling(route)
	}
	return reverted
}

func (c *containment) revertDangling(route Route) {
	detail := fmt.Sprintf("route %q names pool %q", route.Name, route.Pool)
	if c.changed(route.Key()) {
		c.revert(route.Key(), core.CodeDanglingJoin, detail)
		return
	}
	pool := Pool{Name: route.Pool}.Key()
	if _, restored := c.next[pool]; !restored {
		c.revert(pool, core.CodeDanglingJoin, detail)
	}
}

// revertGroups reverts changed pools that select a group which another pool
// selects.
func (c *containment) revertGroups() bool {
	rows := c.decoded()
	owners := map[core.Group][]Pool{}
	for _, pool := range rows.Pools {
		owners[pool.Group] = append(owners[pool.Group], pool)
	}
	reverted := false
	for _, pool := range rows.Pools {
		if len(owners[pool.Group]) < 2 || !c.changed(pool.Key()) {
			continue
		}
		reverted = true
		c.revert(pool.Key(), core.CodeInvalidRow, fmt.Sprintf("pool %q: group %q is selected twice", pool.Name, pool.Group))
	}
	return reverted
}

// decoded returns the rows of next, all of which were decoded before.
func (c *containment) decoded() Rows {
	rows, _ := c.next.Rows(0)
	return rows
}
