// Package obs gives daemons their logs, metrics and health pages.
package obs

import (
	"fmt"
	"io"
	"sync"

	"github.com/sirupsen/logrus"

	"currantusher.dev/core"
	"currantusher.dev/core/invariant"
)

// ComponentField is the log field that holds the fixed prefix of a part.
const ComponentField = "part"

// timeFormat has the milliseconds that order the lines of several daemons.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Logger writes a daemon's logs; Part gives each part its prefix.
type Logger struct {
	base *logrus.Entry
}

// NewLogger returns a logger to out. level is a logrus level and format is
// "text" or "json".
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

// Component returns the log of one part.
func (l *Logger) Component(name string) *logrus.Entry {
	return l.base.WithField(ComponentField, name)
}

var reportOnce sync.Once

// LogInvariantViolations logs each violation of a safety promise in this process.
func (l *Logger) LogInvariantViolations() {
	reportOnce.Do(func() {
		log := l.Component("invariant")
		invariant.SetReporter(func(promise invariant.ID, detail string) {
			log.WithField("promise", promise.String()).Error(detail)
		})
	})
}
