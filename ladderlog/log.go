package ladderlog

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// Logs makes the loggers of a process. Create one with [New].
type Logs struct {
	base *log.Logger
}

// New returns loggers that write lines of at least the given level, which is
// debug, info, warn or error.
func New(w io.Writer, level string) *Logs {
	least, err := log.ParseLevel(level)
	if err != nil {
		least = log.InfoLevel
	}
	return &Logs{base: log.NewWithOptions(w, log.Options{
		ReportTimestamp: true, TimeFormat: time.StampMilli, Level: least, Formatter: log.LogfmtFormatter,
	})}
}

// Discard returns loggers that write nothing.
func Discard() *Logs { return New(io.Discard, "fatal") }

// Part returns the logger of a part, whose lines begin with its name.
func (l *Logs) Part(name string) *log.Logger { return l.base.WithPrefix(name) }
