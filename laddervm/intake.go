package laddervm

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderintake"
	"lacewingladder/ladderjournal"
	"lacewingladder/laddermessage"
)

const (
	// maxIntakeQueries bounds the refusals that are being checked at the same time. A job beyond them is
	// neither refused nor delayed; the store bounds how many of them it takes.
	maxIntakeQueries = 64
	// existsTimeout bounds the read of the store that precedes a refusal. A job that it can't tell about in
	// that time is submitted to it.
	existsTimeout = leaderQueryTimeout
	// maxUnsettled bounds the jobs of which the VM remembers that it may have stored them, for at most
	// unsettledTime. That is as long as the leader is told of jobs that it may not have found.
	maxUnsettled  = 4096
	unsettledTime = lateNoticePeriod
)

// intake decides which jobs of teams this VM refuses, and tells the leader what it was offered. It is safe
// for concurrent use. Create one with [newIntake].
type intake struct {
	vm *VM
	// exists reports whether the store holds a job.
	exists func(ctx context.Context, id string) (bool, error)
	// ask sends a message to the leader and returns the reply, or false if there is none.
	ask func(ctx context.Context, m laddermessage.Message, timeout time.Duration) (laddermessage.Message, bool)
	// checks holds an element for each refusal that is being checked.
	checks chan struct{}

	mu   sync.Mutex
	gate *ladderintake.Gate
	// reportedAt is when the last report was sent, and reporting is true until it is answered.
	reportedAt time.Time
	reporting  bool
	// unsettled holds the jobs that are being submitted, or whose submission has an unknown outcome, by ID,
	// with the time at which that began.
	unsettled map[string]time.Time
}

func newIntake(v *VM) *intake {
	return &intake{
		vm: v, exists: v.journal.Exists, ask: v.callLeader, checks: make(chan struct{}, maxIntakeQueries),
		gate: ladderintake.NewGate(), unsettled: map[string]time.Time{},
	}
}

// now returns the time since the machine was booted, as a time. It also passes while the machine is
// suspended, and does not change with the time of day.
func (i *intake) now() time.Time { return time.Unix(0, 0).Add(i.vm.boot.SinceBoot()) }

// admit is the step of a submission that refuses a job. It returns true if the job is to be submitted to
// the store, and false if it has sent the response.
func (i *intake) admit(x *exchange, job *ladderflow.Job) bool {
	if job.Team == "" || job.HasSchedule() || lasts(job) {
		return true // The job has no team, or its work is not due now.
	}
	team, ok := x.fleet.Team(job.Team)
	if !ok {
		return true
	}
	defer i.report()
	o := ladderintake.NewOffer(job, x.queue, team)
	d := i.decide(o)
	if !d.Refused {
		return true
	}
	turn, refused := i.check(x.ctx, o, d)
	switch {
	case !refused && x.ctx.Err() != nil:
		// The caller's time is up, or it has gone: it must not take up room that it does not wait for.
		x.fail(http.StatusGatewayTimeout, "the store has not answered")
		return false
	case !refused:
		return true
	}
	i.vm.stats.set.GetOrCreateCounter(fmt.Sprintf(`ladder_jobs_refused_total{cause=%q,team=%q}`, string(d.Cause), o.Team)).Inc()
	i.vm.log.Info("job refused", "job", o.Job, "queue", job.Queue, "team", o.Team, "cause", string(d.Cause), "rate", d.Rate,
		"weight", o.Weight, "ahead", d.Ahead, "wait", d.Wait.Round(time.Millisecond), "horizon", o.Class.Horizon(),
		"age", d.Age.Round(time.Millisecond), "retryAfter", turn.Seconds(), "promised", turn.Promised)
	x.retryAfter(turn.Seconds())
	x.fail(http.StatusTooManyRequests, "the team's jobs can not be served in time now: "+string(d.Cause))
	return false
}

// lasts reports whether the job runs until it is canceled.
func lasts(job *ladderflow.Job) bool {
	for i := range job.Steps {
		if job.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// decide decides about an offer by what this VM knows, and counts the job if it is admitted.
func (i *intake) decide(o ladderintake.Offer) ladderintake.Decision {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	d := i.gate.Decide(now, o)
	if began, ok := i.unsettled[o.Job]; ok && now.Sub(began) <= unsettledTime {
		d.Refused = false // An earlier submission may store the job.
		return d
	}
	if d.Refused && i.gate.Returned(now, o) {
		d.Refused = false
	}
	if !d.Refused {
		i.admitted(now, o)
	}
	return d
}

// admitted counts a job that is going to be submitted. The caller holds the lock.
func (i *intake) admitted(now time.Time, o ladderintake.Offer) {
	i.gate.Admitted(now, o)
	if len(i.unsettled) >= maxUnsettled {
		for id, began := range i.unsettled {
			if now.Sub(began) > unsettledTime {
				delete(i.unsettled, id)
			}
		}
	}
	if len(i.unsettled) < maxUnsettled {
		i.unsettled[o.Job] = now
	}
}

// check makes sure that a job that is to be refused was never accepted, and returns the turn of its caller.
// It returns false if the job must not be refused: its caller has come back in its turn, or the job was
// accepted, or nobody can tell. The store then finds it or takes it as any other.
func (i *intake) check(ctx context.Context, o ladderintake.Offer, d ladderintake.Decision) (ladderintake.Turn, bool) {
	select {
	case i.checks <- struct{}{}:
		defer func() { <-i.checks }()
	default:
		i.admitUnchecked(o, "too many refusals are being checked")
		return ladderintake.Turn{}, false
	}
	reply, _ := i.ask(ctx, laddermessage.IntakeQuery{Offer: o}, leaderQueryTimeout)
	answer, ok := reply.(laddermessage.IntakeTurn)
	if ok && answer.Found {
		return ladderintake.Turn{}, false
	}
	turn := ladderintake.Turn{Wait: answer.Wait, Promised: answer.Promised, Ready: answer.Ready}
	if !ok {
		turn = i.ownTurn(o, d)
	}
	if turn.Ready {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.admitted(i.now(), o)
		return turn, false
	}
	// The leader may not have heard of the job yet.
	ctx, cancel := context.WithTimeout(ctx, existsTimeout)
	defer cancel()
	exists, err := i.exists(ctx, o.Job)
	switch {
	case err != nil:
		i.admitUnchecked(o, "the store does not tell whether the job was accepted before")
		return turn, false
	case exists:
		return turn, false
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.gate.Refused(o)
	if ok {
		i.gate.TurnGiven(i.now(), o, turn)
	}
	return turn, true
}

// ownTurn returns the turn that this VM gives if the leader does not.
func (i *intake) ownTurn(o ladderintake.Offer, d ladderintake.Decision) ladderintake.Turn {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.gate.Turn(i.now(), o, d)
}

// admitUnchecked counts a job that is submitted although there is no room, since it may have been accepted
// before.
func (i *intake) admitUnchecked(o ladderintake.Offer, why string) {
	i.vm.log.Info("job not refused", "job", o.Job, "team", o.Team, "why", why)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.admitted(i.now(), o)
}

// settle records the outcome of a submission.
func (i *intake) settle(job *ladderflow.Job, outcome ladderjournal.Outcome) {
	if job.Team == "" || outcome == ladderjournal.OutcomeUnknown {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.unsettled, job.ID)
}

// report tells the leader what this VM was offered, and learns which teams are limited, unless the last
// report is recent.
func (i *intake) report() {
	i.mu.Lock()
	defer i.mu.Unlock()
	sent := i.now()
	if i.reporting || !i.reportedAt.IsZero() && sent.Sub(i.reportedAt) < ladderintake.ReportInterval {
		return
	}
	counts := i.gate.Report(sent)
	i.reporting, i.reportedAt = true, sent
	i.vm.wait.Go(func() {
		reply, ok := i.ask(context.Background(), laddermessage.IntakeReport{VM: i.vm.settings.Name, Counts: counts}, notifyTimeout)
		i.mu.Lock()
		defer i.mu.Unlock()
		i.reporting = false
		limits, valid := reply.(laddermessage.IntakeLimits)
		if !ok || !valid {
			i.gate.Unreported(counts)
			return
		}
		i.gate.Heard(sent, limits.Limits, i.vm.vmCount())
		i.vm.stats.set.GetOrCreateGauge("ladder_limits_age_seconds", func() float64 {
			i.mu.Lock()
			defer i.mu.Unlock()
			age, _ := i.gate.Age(i.now())
			return age.Seconds()
		})
	})
}

// vmCount returns the number of registered VMs, of which this is one.
func (v *VM) vmCount() int { return 1 + len(v.registry.registered()) }

// retryAfter states in how many seconds the caller should come back.
func (x *exchange) retryAfter(seconds int) {
	x.writer.Header().Set("Retry-After", strconv.Itoa(seconds))
}

// retrySeconds returns after how many seconds a caller should come back while it is not known when it can be
// served: with teams, callers are spread over the time for which they wait for an answer, so that they do
// not all come back together.
func (x *exchange) retrySeconds(seconds int) int {
	if x.fleet == nil || len(x.fleet.Teams) == 0 {
		return seconds
	}
	return ladderintake.Spread(x.jobID, processingTime(x.request)+responseMargin)
}
