package laddervm

import (
	"net/http"

	"lacewingladder/ladderaccess"
	"lacewingladder/ladderjournal"
)

// foreignText is the error of a call on a job of another team. It says nothing of the job.
const foreignText = "the key's team may not use this id"

// authorize rejects a request that needs the key of a team and has none. It reads the newest configuration, so
// that a key that was withdrawn stops working at once, except for requests that were authorized before.
func (v *VM) authorize(x *exchange) bool {
	caller, refusal := ladderaccess.Authorize(x.fleet, x.queue, x.request.Header.Values("Authorization"))
	if refusal != nil {
		v.log.Info("call refused for its key", "reason", refusal.Reason, "queue", x.queue.Name, "method", x.request.Method,
			"key", refusal.Key, "version", x.fleet.Version)
		x.writer.Header().Set("WWW-Authenticate", refusal.Challenge)
		x.fail(http.StatusUnauthorized, refusal.Text)
		return false
	}
	x.caller = caller
	return true
}

// refuseForeign rejects a call on a job of another team.
func (v *VM) refuseForeign(x *exchange) {
	v.log.Info("call refused for its team", "reason", "job of another team", "job", x.jobID, "queue", x.queue.Name,
		"method", x.request.Method, "team", x.caller.Team)
	x.fail(http.StatusForbidden, foreignText)
}

// mayUse rejects a call on a job that the caller may not use. It returns true if it has not.
func (v *VM) mayUse(x *exchange, team, queue string) bool {
	if x.caller.MayUse(team, queue) {
		return true
	}
	v.refuseForeign(x)
	return false
}

// mayUseStored is mayUse for a job that no leader knows. Without teams, it reads nothing.
func (v *VM) mayUseStored(x *exchange) bool {
	if !x.caller.KeysRequired {
		return true
	}
	team, queue, ok, err := v.journal.Owner(x.ctx, x.jobID)
	switch {
	case err != nil:
		x.failRetryable(http.StatusServiceUnavailable, retryAfterSeconds, "the job's state is not known now")
		return false
	case !ok:
		x.fail(http.StatusGone, "no such job")
		return false
	}
	return v.mayUse(x, team, queue)
}

// cancel stores the cancellation of a request's job. It returns true if the store is known to hold the job.
func (v *VM) cancel(x *exchange) (ladderjournal.Outcome, bool, error) {
	if !x.caller.KeysRequired {
		outcome, err := v.journal.Cancel(x.ctx, x.jobID)
		return outcome, false, err
	}
	return v.journal.CancelFor(x.ctx, x.jobID, x.caller)
}
