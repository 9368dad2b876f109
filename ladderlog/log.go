package ladderlog

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// Loggers creates the loggers of a process. Create it with [New].
type Loggers struct {
	// base is the logger from which all others are derived.
	base *log.Logger
}

// New returns a Loggers whose loggers write lines of at least the given level to w. The
// level is debug, info, warn, error or fatal; any other text means info.
func New(w io.Writer, level string) *Loggers {
	minLevel, err := log.ParseLevel(level)
	if err != nil {
		minLevel = log.InfoLevel
	}
	return &Loggers{base: log.NewWithOptions(w, log.Options{
		ReportTimestamp: true, TimeFormat: time.StampMilli, Level: minLevel, Formatter: log.LogfmtFormatter,
	})}
}

// Discard returns a Loggers whose loggers write nothing.
func Discard() *Loggers { return New(io.Discard, "fatal") }

// Component returns a logger for a component, whose lines carry its name as the prefix.
func (l *Loggers) Component(name string) *log.Logger { return l.base.WithPrefix(name) }
