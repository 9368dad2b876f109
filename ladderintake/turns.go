package ladderintake

import (
	"hash/fnv"
	"time"
)

const (
	// maxTurns bounds the callers that are remembered. The oldest are forgotten first.
	maxTurns = 8192
	// turnLifetime is how long after its turn a caller may return: the time that it may wait for an answer,
	// and one second, since Retry-After states whole seconds.
	turnLifetime = NewsLifetime + time.Second
	// uselessFactor is the multiple of a job's objective after which its result is no longer of use.
	uselessFactor = 3
	// returnShare is the share of a team's rate that goes to those who return in their turn, while there are
	// some. The rest is left for those who come for the first time, whose jobs can still be on time: with all
	// of it, each job of a team that sends too much for long would have waited for the whole line first.
	returnShare = 0.5
	// maxHalvings bounds how often the time that a caller is told is halved.
	maxHalvings = 2
	// unstatedRate is the rate of turns, in jobs per second, if none is known. It is one job for each
	// second that Retry-After can tell apart.
	unstatedRate = 1.0
)

// Turn is when a refused caller should come back.
type Turn struct {
	// Wait is the time until then.
	Wait time.Duration
	// Promised is true if the caller will be admitted then, and Ready if that time has come.
	Promised, Ready bool
}

// Seconds returns the value of Retry-After.
func (t Turn) Seconds() int { return max(1, int((t.Wait+time.Second-1)/time.Second)) }

// turns remembers the callers that were refused.
type turns struct {
	callers map[caller]*callerTurn
	// order holds the callers in the order in which they were added.
	order []caller
	lines map[Key]*line
}

// caller identifies who submits a job.
type caller struct {
	Key
	job string
}

// callerTurn is what is remembered of a refused caller.
type callerTurn struct {
	at       time.Time
	promised bool
	refusals int
}

// line holds, by class, the last turn that was promised.
type line [Classes]time.Time

func newTurns() *turns { return &turns{callers: map[caller]*callerTurn{}, lines: map[Key]*line{}} }

// ready reports whether the caller was promised a turn that has come.
func (t *turns) ready(now time.Time, o Offer) bool {
	c := t.callers[caller{o.Key, o.Job}]
	return c != nil && c.promised && !now.Before(c.at) && !now.After(c.at.Add(turnLifetime))
}

// give returns the turn of a caller that is refused since there is no room for the given time. The team is
// owed the given rate from then on.
func (t *turns) give(now time.Time, o Offer, wait time.Duration, rate float64) Turn {
	if t.ready(now, o) {
		return Turn{Promised: true, Ready: true}
	}
	c := t.caller(now, o)
	if c.promised && now.Before(c.at) {
		return Turn{Wait: c.at.Sub(now), Promised: true}
	}
	if rate <= 0 {
		rate = unstatedRate
	}
	l := t.lines[o.Key]
	if l == nil {
		l = &line{}
		t.lines[o.Key] = l
	}
	interval := seconds(1 / (rate * returnShare))
	turn := Turn{Wait: later(l[o.Class], now.Add(wait)).Add(interval).Sub(now)}
	if useful := o.useful(); time.Duration(turn.Seconds())*time.Second <= useful {
		turn.Promised = true
		for i := o.Class; i < Classes; i++ {
			l[i] = later(later(l[i], now).Add(interval), now.Add(turn.Wait))
		}
	} else {
		// There is no room for as long as the job is of use, unless others do not return.
		turn.Wait = (useful/2 + time.Duration(share(o.Job)*float64(useful/2))) >> min(c.refusals, maxHalvings)
	}
	c.at, c.promised, c.refusals = now.Add(turn.Wait), turn.Promised, c.refusals+1
	return turn
}

// useful returns for how long it is of use that the job starts later.
func (o *Offer) useful() time.Duration {
	return max(time.Second, uselessFactor*o.Objective-o.Path)
}

// remember records a turn that somebody else gave.
func (t *turns) remember(now time.Time, o Offer, turn Turn) {
	c := t.caller(now, o)
	c.at, c.promised, c.refusals = now.Add(turn.Wait), turn.Promised, c.refusals+1
}

// caller returns what is remembered of the caller of an offer, and begins to remember it.
func (t *turns) caller(now time.Time, o Offer) *callerTurn {
	k := caller{o.Key, o.Job}
	if c := t.callers[k]; c != nil {
		return c
	}
	for len(t.order) > 0 {
		oldest := t.callers[t.order[0]]
		if len(t.order) < maxTurns && !now.After(oldest.at.Add(turnLifetime)) {
			break
		}
		delete(t.callers, t.order[0])
		t.order = t.order[1:]
	}
	c := &callerTurn{}
	t.callers[k], t.order = c, append(t.order, k)
	return c
}

// Spread returns after how many seconds a caller should come back if it is not known when there will be
// room: callers with different jobs are spread evenly over the whole seconds of the given time.
func Spread(job string, over time.Duration) int {
	return 1 + int(share(job)*float64(max(1, over/time.Second)))
}

// share returns a number from 0 to 1 that depends on the job's ID only.
func share(job string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(job))
	return float64(h.Sum32()) / (1 << 32)
}
