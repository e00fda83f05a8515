// Package obs provides the daemons' logs, metrics and health endpoints.
package obs

import (
	"fmt"
	"io"
	"sync"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
)

// ComponentField is the log field with the name of the component.
const ComponentField = "part"

// timeFormat has milliseconds, so that lines of several daemons can be ordered.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Logger writes a daemon's logs. Component returns the logger of one component.
type Logger struct {
	base *logrus.Entry
}

// NewLogger returns a logger that writes to out. level is a logrus level and
// format is "text" or "json".
func NewLogger(out io.Writer, level, format string, instance core.InstanceID) (*Logger, error) {
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log-level %q: %w", level, err)
	}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(parsed)
	switch format {
	case "text":
		logger.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true, TimestampFormat: timeFormat})
	case "json":
		logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: timeFormat})
	default:
		return nil, fmt.Errorf("log-format %q: want text or json", format)
	}
	return &Logger{base: logger.WithField("instance", string(instance))}, nil
}

// DiscardLogger returns a logger that writes nothing.
func DiscardLogger() *Logger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return &Logger{base: logrus.NewEntry(logger)}
}

// Component returns a logger whose lines carry the component's name.
func (l *Logger) Component(name string) *logrus.Entry {
	return l.base.WithField(ComponentField, name)
}

var setReporterOnce sync.Once

// LogInvariantViolations installs an invariant.Reporter that logs each violation in
// this process. Only the first call in a process has an effect.
func (l *Logger) LogInvariantViolations() {
	setReporterOnce.Do(func() {
		log := l.Component("invariant")
		invariant.SetReporter(func(id invariant.ID, detail string) {
			log.WithField("promise", id.String()).Error(detail)
		})
	})
}
