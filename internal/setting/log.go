package setting

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// LogFormat is the format of log lines.
type LogFormat string

// Formats of log lines.
const (
	TextLog LogFormat = "text"
	JSONLog LogFormat = "json"
)

// LogLevel is the minimum level that is logged.
type LogLevel string

// Levels of log lines.
const (
	DebugLevel LogLevel = "debug"
	InfoLevel  LogLevel = "info"
	WarnLevel  LogLevel = "warn"
	ErrorLevel LogLevel = "error"
)

var logLevels = map[LogLevel]log.Level{
	DebugLevel: log.DebugLevel,
	InfoLevel:  log.InfoLevel,
	WarnLevel:  log.WarnLevel,
	ErrorLevel: log.ErrorLevel,
}

func (c *Common) checkLog(k *checker) {
	if c.LogFormat != TextLog && c.LogFormat != JSONLog {
		k.reject("log-format", string(c.LogFormat), "text or json")
	}
	if _, ok := logLevels[c.LogLevel]; !ok {
		k.reject("log-level", string(c.LogLevel), "debug, info, warn or error")
	}
}

// Logger returns a logger with the configured format and level. Its timestamps are
// in UTC.
func (c *Common) Logger(w io.Writer) *log.Logger {
	o := log.Options{
		Level:           logLevels[c.LogLevel],
		ReportTimestamp: true,
		TimeFunction:    func(t time.Time) time.Time { return t.UTC() },
		TimeFormat:      time.RFC3339Nano,
	}
	if c.LogFormat == JSONLog {
		o.Formatter = log.JSONFormatter
	}
	return log.NewWithOptions(w, o)
}
