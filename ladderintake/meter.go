package ladderintake

import "time"

// meter measures by how many jobs a team is ahead of its rate. For each class it counts the jobs of that
// class and of those with shorter horizons, so that jobs that can wait do not hold up those that can't.
type meter struct {
	level [Classes]float64
	at    time.Time
}

// drain lets the levels fall by the jobs that are owed for the time that has passed.
func (m *meter) drain(now time.Time, rate float64) {
	if !m.at.IsZero() && now.After(m.at) {
		owed := rate * now.Sub(m.at).Seconds()
		for i := range m.level {
			m.level[i] = max(0, m.level[i]-owed)
		}
	}
	m.at = later(m.at, now)
}

// excess returns for how long no job of the class may be admitted. It is zero if one may be: the jobs that
// the team is ahead by are owed within the horizon, or it is one at most.
func (m *meter) excess(c Class, rate float64) time.Duration {
	over := m.level[c] - m.burst(c, rate)
	if over <= 0 {
		return 0
	}
	return seconds(over / rate)
}

// burst returns the number of jobs that the team may be ahead by. It is one at least, since a part of a rate may
// owe less than a job within the horizon.
func (m *meter) burst(c Class, rate float64) float64 { return max(1, rate*c.Horizon().Seconds()) }

// add counts a job. The team never gets further ahead than one job beyond what is owed within the horizon:
// a rate that was not limited leaves no debt that would be collected later.
func (m *meter) add(c Class, rate float64) {
	for i := c; i < Classes; i++ {
		m.level[i] = min(m.level[i]+1, m.burst(i, rate)+1)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// seconds converts a number of seconds, of which no more than an hour are of use.
func seconds(s float64) time.Duration { return time.Duration(min(s, 3600) * float64(time.Second)) }
