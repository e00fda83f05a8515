// Package members knows which daemons of the fleet run and what they report.
// Agents send heartbeats to a few entries; entries spread what they hear by
// anti-entropy; the platform's lagging list only names candidates.
package members
