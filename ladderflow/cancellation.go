package ladderflow

import "slices"

// Cancellation is the cancellation of a job. It may come before the job.
type Cancellation struct {
	Job string
	// Teams holds the teams whose callers have canceled a job that was not submitted yet. Callers without a
	// team are in it as the empty name. Teams is empty if the caller was known to be allowed to cancel the job,
	// or if there were no teams.
	Teams []string
}

// Cancels reports whether the cancellation cancels a job. One that came before the job has no effect on a job of
// another team.
func (c Cancellation) Cancels(j *Job) bool {
	return len(c.Teams) == 0 || j.Team == "" || slices.Contains(c.Teams, j.Team)
}

// Union returns a cancellation that cancels what one of the two does. Both are of the same job.
func (c Cancellation) Union(o Cancellation) Cancellation {
	if len(c.Teams) == 0 || len(o.Teams) == 0 {
		return Cancellation{Job: c.Job}
	}
	teams := slices.Concat(c.Teams, o.Teams)
	slices.Sort(teams)
	return Cancellation{Job: c.Job, Teams: slices.Compact(teams)}
}
