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
	// lineTime is the span over which lines are counted.
	lineTime = time.Second
	// maxInfo and maxWarn are how many lines of one message are written in a span:
	// more than the decisions of a busy second, and enough to see what is wrong.
	maxInfo = 600
	maxWarn = 20
	// queueLines is how many lines may wait for a slow reader.
	queueLines = 8192
)

// Logger writes the lines of one part. It bounds the lines of each message, and says
// how many it left out. It is safe for concurrent use.
type Logger struct {
	log   *log.Logger
	clock ladderclock.Clock

	mu     sync.Mutex
	counts map[string]*count
}

// count is how often a message was logged in a span.
type count struct {
	began   time.Time
	lines   int
	dropped int
}

// Limited returns the logger of a part that bounds its lines.
func (l *Logs) Limited(name string, clock ladderclock.Clock) *Logger {
	return &Logger{log: l.Part(name), clock: clock, counts: map[string]*count{}}
}

// Debug logs what only a developer asks for.
func (l *Logger) Debug(msg any, keyvals ...any) {
	if l.log.GetLevel() <= log.DebugLevel && l.admit(msg, maxInfo) {
		l.log.Debug(msg, keyvals...)
	}
}

// Info logs a decision.
func (l *Logger) Info(msg any, keyvals ...any) {
	if l.log.GetLevel() <= log.InfoLevel && l.admit(msg, maxInfo) {
		l.log.Info(msg, keyvals...)
	}
}

// Warn logs what is not as it should be, and what was done about it.
func (l *Logger) Warn(msg any, keyvals ...any) {
	if l.log.GetLevel() <= log.WarnLevel && l.admit(msg, maxWarn) {
		l.log.Warn(msg, keyvals...)
	}
}

// Error logs what needs an operator.
func (l *Logger) Error(msg any, keyvals ...any) {
	if l.admit(msg, maxWarn) {
		l.log.Error(msg, keyvals...)
	}
}

// admit reports whether a line may be written, and reports those left out before.
func (l *Logger) admit(msg any, most int) bool {
	key := fmt.Sprint(msg)
	now := l.clock.Now()
	l.mu.Lock()
	c, ok := l.counts[key]
	if !ok {
		c = &count{began: now}
		l.counts[key] = c
	}
	dropped := 0
	if now.Sub(c.began) >= lineTime {
		dropped = c.dropped
		*c = count{began: now}
	}
	c.lines++
	admitted := c.lines <= most
	if !admitted {
		c.dropped++
	}
	l.mu.Unlock()
	if dropped > 0 {
		l.log.Warn("lines were left out", "of", key, "lines", dropped)
	}
	return admitted
}

// Queue is a writer that never makes its callers wait: lines for which a slow reader
// leaves no room are dropped and counted. Create one with [NewQueue].
type Queue struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewQueue returns a queue that writes to w until it is closed.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{to: w, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go q.run()
	return q
}

func (q *Queue) run() {
	defer close(q.done)
	for line := range q.lines {
		if n := q.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(q.to, "level=warn prefix=log msg=\"lines were dropped\" lines=%d\n", n)
		}
		// Where lines can't be written there is nowhere to say so.
		_, _ = q.to.Write(line)
	}
}

// Write implements [io.Writer]. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits. Nothing may be written afterwards.
func (q *Queue) Close() {
	close(q.lines)
	<-q.done
}
