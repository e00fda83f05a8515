// Package netlimit bounds what the callers of a listener can make a process hold: open
// connections, bytes of heads and bodies, answers that are not read, and the time for each.
// A connection costs no goroutine beside the server's.
package netlimit
