// Package members tracks which daemons of the fleet are running and what state
// they report. Agents send heartbeats to a few entries, and entries spread the
// reports among each other by anti-entropy exchanges. The platform's instance
// list lags and only names candidates.
package members
