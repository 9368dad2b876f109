package ladderlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"lacewingladder/ladderclock"
)

const (
	// limitWindow is the time window for which the lines of a message are limited.
	limitWindow = time.Second
	// maxInfoLines limits the debug and info lines of one message in a window. It is more
	// than the number of decisions in a busy second.
	maxInfoLines = 600
	// maxWarnLines limits the warnings and errors of one message in a window. It is enough
	// to see what is wrong.
	maxWarnLines = 20
	// asyncBufferLines is the number of lines that an AsyncWriter buffers for a slow writer.
	asyncBufferLines = 8192
)

// Logger writes the log lines of one component. For each message it limits the number of
// lines per second, and then logs how many lines it left out. It is safe for concurrent
// use. Create one with [Loggers.RateLimited].
type Logger struct {
	log   *log.Logger
	clock ladderclock.Clock

	mu sync.Mutex
	// windows holds the current window of each message that was ever logged.
	windows map[string]*window
}

// window counts the lines of one message in a time window.
type window struct {
	start time.Time
	// lines counts all lines, including the dropped ones.
	lines   int
	dropped int
}

// RateLimited returns a logger for a component that limits its lines per second.
func (l *Loggers) RateLimited(name string, clock ladderclock.Clock) *Logger {
	return &Logger{log: l.Component(name), clock: clock, windows: map[string]*window{}}
}

// Debug logs details that only developers need.
func (l *Logger) Debug(msg any, keyvals ...any) {
	if l.log.GetLevel() <= log.DebugLevel && l.admit(msg, maxInfoLines) {
		l.log.Debug(msg, keyvals...)
	}
}

// Info logs a decision or event of normal operation.
func (l *Logger) Info(msg any, keyvals ...any) {
	if l.log.GetLevel() <= log.InfoLevel && l.admit(msg, maxInfoLines) {
		l.log.Info(msg, keyvals...)
	}
}

// Warn logs a problem that the process handles itself, and what it does about it.
func (l *Logger) Warn(msg any, keyvals ...any) {
	if l.log.GetLevel() <= log.WarnLevel && l.admit(msg, maxWarnLines) {
		l.log.Warn(msg, keyvals...)
	}
}

// Error logs a problem that an operator must solve.
func (l *Logger) Error(msg any, keyvals ...any) {
	if l.admit(msg, maxWarnLines) {
		l.log.Error(msg, keyvals...)
	}
}

// admit counts a line of a message and reports whether it may be written: at most
// maxLines lines may be written in a window. The first line after the end of a window
// starts a new one, and admit then logs how many lines were dropped in the old one.
func (l *Logger) admit(msg any, maxLines int) bool {
	key := fmt.Sprint(msg)
	now := l.clock.Now()
	l.mu.Lock()
	w, ok := l.windows[key]
	if !ok {
		w = &window{start: now}
		l.windows[key] = w
	}
	dropped := 0
	if now.Sub(w.start) >= limitWindow {
		dropped = w.dropped
		*w = window{start: now}
	}
	w.lines++
	admitted := w.lines <= maxLines
	if !admitted {
		w.dropped++
	}
	l.mu.Unlock()
	if dropped > 0 {
		l.log.Warn("lines were left out", "of", key, "lines", dropped)
	}
	return admitted
}

// AsyncWriter is an [io.Writer] that buffers lines for another writer and whose Write never
// blocks. When its buffer is full, because the other writer is slow, it drops lines and
// counts them. Create one with [NewAsyncWriter].
type AsyncWriter struct {
	to    io.Writer
	lines chan []byte
	// dropped counts the dropped lines that have not been reported in the output yet.
	dropped atomic.Int64
	// done is closed when all buffered lines have been written after Close.
	done chan struct{}
}

// NewAsyncWriter returns a writer that passes lines on to w, from a goroutine of its own,
// until it is closed.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{to: w, lines: make(chan []byte, asyncBufferLines), done: make(chan struct{})}
	go a.run()
	return a
}

// run writes the buffered lines. When lines have been dropped, it reports their number
// before the next line that it writes.
func (a *AsyncWriter) run() {
	defer close(a.done)
	for line := range a.lines {
		if n := a.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(a.to, "level=warn prefix=log msg=\"lines were dropped\" lines=%d\n", n)
		}
		// A write error is ignored, since it could not be logged either.
		_, _ = a.to.Write(line)
	}
}

// Write implements [io.Writer]. It expects whole lines, copies them, and never fails.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Close waits until the buffered lines have been written, and stops the writer's
// goroutine. Write must not be called afterwards.
func (a *AsyncWriter) Close() {
	close(a.lines)
	<-a.done
}
