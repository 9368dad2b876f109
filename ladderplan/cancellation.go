package ladderplan

import (
	"time"

	"lacewingladder/ladderflow"
)

// CancelFor handles a cancellation that the store holds, which may have no effect on the jobs of some teams. If the
// job is unknown, the cancellation is kept until the job is added.
func (p *Planner) CancelFor(now time.Time, c ladderflow.Cancellation) {
	if j, ok := p.jobs[c.Job]; ok {
		if c.Cancels(j.spec) {
			p.Cancel(now, c.Job)
		} else {
			p.log.Info("cancellation by another team than the job's has no effect", "job", c.Job, "team", j.spec.Team, "by", c.Teams)
		}
		return
	}
	if _, ok := p.cancellations[c.Job]; ok {
		// Without an entry in cancellationTeams, any caller's cancellation counts.
		c = c.Union(p.cancellationTeams[c.Job])
	}
	if p.cancellationTeams == nil {
		p.cancellationTeams = map[string]ladderflow.Cancellation{}
	}
	p.cancellations[c.Job], p.cancellationTeams[c.Job] = now, c
}

// takeCancellation removes the cancellation that came before a job and reports whether it cancels the job.
func (p *Planner) takeCancellation(now time.Time, spec *ladderflow.Job) bool {
	if _, ok := p.cancellations[spec.ID]; !ok {
		return false
	}
	c := p.cancellationTeams[spec.ID]
	p.dropCancellation(spec.ID)
	if !c.Cancels(spec) {
		p.CancelFor(now, c) // The job is known now, which is only logged.
		return false
	}
	return true
}

// dropCancellation removes a cancellation that came before its job.
func (p *Planner) dropCancellation(id string) {
	delete(p.cancellations, id)
	delete(p.cancellationTeams, id)
}

// Owner returns the team and the queue of a job, which are empty if the job is unknown.
func (p *Planner) Owner(id string) (team, queue string) {
	if j, ok := p.jobs[id]; ok {
		return j.spec.Team, j.spec.Queue
	}
	return "", ""
}
