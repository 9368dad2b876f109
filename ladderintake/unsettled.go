package ladderintake

import "time"

const (
	// UnsettledTime is how long a job of which the submission has an unknown outcome is not refused. The
	// store may still take it, or nobody has found it there yet.
	UnsettledTime = 30 * time.Second
	// maxUnsettled bounds the jobs that are remembered for that reason.
	maxUnsettled = 4096
)

// Unsettled holds jobs that the store may take although their callers have no answer. The zero value is ready
// for use.
type Unsettled struct {
	jobs map[string]*submissions
}

// submissions is what is known of the submissions of one job.
type submissions struct {
	// at is when the last one began, or when its outcome turned out to be unknown.
	at time.Time
	// open counts those that are under way. Unknown is true once the outcome of one was unknown.
	open    int
	unknown bool
}

// Began records that a job is being submitted to the store.
func (u *Unsettled) Began(now time.Time, job string) {
	if s := u.entry(now, job); s != nil {
		s.open++
	}
}

// Unknown records that the outcome of a submission is unknown, whether or not its beginning was recorded.
func (u *Unsettled) Unknown(now time.Time, job string) {
	if s := u.entry(now, job); s != nil {
		s.open, s.unknown = max(0, s.open-1), true
	}
}

// Rejected records that the store has rejected a submission. Others may still take effect.
func (u *Unsettled) Rejected(job string) {
	s := u.jobs[job]
	if s == nil {
		return
	}
	if s.open = max(0, s.open-1); s.open == 0 && !s.unknown {
		delete(u.jobs, job)
	}
}

// Stored records that the store holds the job or has shown that it never will.
func (u *Unsettled) Stored(job string) { delete(u.jobs, job) }

// Has reports whether the store may still take the job.
func (u *Unsettled) Has(now time.Time, job string) bool {
	s := u.jobs[job]
	return s != nil && now.Sub(s.at) <= UnsettledTime
}

// entry returns the entry of a job, which it adds. It returns nil if there are too many.
func (u *Unsettled) entry(now time.Time, job string) *submissions {
	if u.jobs == nil {
		u.jobs = map[string]*submissions{}
	}
	if len(u.jobs) >= maxUnsettled {
		for id, s := range u.jobs {
			if now.Sub(s.at) > UnsettledTime {
				delete(u.jobs, id)
			}
		}
	}
	s := u.jobs[job]
	if s == nil && len(u.jobs) < maxUnsettled {
		s = &submissions{}
		u.jobs[job] = s
	}
	if s != nil {
		s.at = now
	}
	return s
}
