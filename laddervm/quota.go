package laddervm

import (
	"net/http"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderteam"
)

// fitsQuota reports whether a job that is handed in can run under its team's quota. If it never can, it
// responds to the caller, and the job is not stored. A job with this ID that was stored before, under a larger
// quota, stays accepted: its caller may not have got the answer.
func (v *VM) fitsQuota(x *exchange, job *ladderflow.Job) bool {
	team, ok := x.fleet.Team(job.Team)
	if !ok {
		return true
	}
	reason, never := ladderteam.NeverFits(team, job)
	if !never {
		return true
	}
	stored, err := v.journal.Exists(x.ctx, job.ID)
	v.log.Info("job never fits the quota of its team", "job", job.ID, "queue", job.Queue, "team", job.Team, "reason", reason,
		"storedBefore", stored, "version", x.fleet.Version, "err", err)
	switch {
	case err != nil:
		x.failRetryable(http.StatusServiceUnavailable, retryAfterSeconds, "the job does not fit the quota of its team, and whether it is stored is not known now")
	case stored:
		return true // The writer finds out whether it is of the caller's team.
	default:
		x.fail(http.StatusUnprocessableEntity, reason+"; nothing was stored")
	}
	return false
}
