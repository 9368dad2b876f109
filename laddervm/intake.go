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
	// maxReportedUnsettled bounds the unsettled jobs in one report. The oldest are left out.
	maxReportedUnsettled = 256
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
	// unsettled holds the jobs that this VM may have stored, and unreported those of them that the leader is to
	// be told of.
	unsettled  ladderintake.Unsettled
	unreported []string
}

func newIntake(v *VM) *intake {
	return &intake{
		vm: v, exists: v.journal.Exists, ask: v.callLeader, checks: make(chan struct{}, maxIntakeQueries),
		gate: ladderintake.NewGate(),
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
	defer i.report(false)
	o := ladderintake.NewOffer(job, x.queue, team)
	d := i.decide(o)
	var turn ladderintake.Turn
	if d.Refused {
		turn, d.Refused = i.check(x.ctx, o, d)
		if !d.Refused && x.ctx.Err() != nil {
			// The caller's time is up, or it has gone: it must not take up room that it does not wait for.
			x.fail(http.StatusGatewayTimeout, "the store has not answered")
			return false
		}
	}
	if !d.Refused {
		i.began(o)
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
	if i.unsettled.Has(now, o.Job) {
		d.Refused = false // An earlier submission may store the job.
		return d
	}
	if d.Refused && i.gate.Returned(now, o) {
		d.Refused = false
	}
	if !d.Refused {
		i.gate.Admitted(now, o)
	}
	return d
}

// began records that a job is being submitted.
func (i *intake) began(o ladderintake.Offer) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.unsettled.Began(i.now(), o.Job)
}

// existence is what the store has told about a job.
type existence struct {
	exists bool
	err    error
}

// check makes sure that a job that is to be refused was never accepted, and returns the turn of its caller.
// It returns false if the job must not be refused: the leader admits it, or it was accepted before, or nobody can
// tell. The store then finds it or takes it as any other.
func (i *intake) check(ctx context.Context, o ladderintake.Offer, d ladderintake.Decision) (ladderintake.Turn, bool) {
	select {
	case i.checks <- struct{}{}:
		defer func() { <-i.checks }()
	default:
		i.admitUnchecked(o, "too many refusals are being checked")
		return ladderintake.Turn{}, false
	}
	// The store is read at the same time, since the leader may not have heard of the job yet.
	reading, cancel := context.WithTimeout(ctx, existsTimeout)
	defer cancel()
	read := make(chan existence, 1)
	go func() {
		exists, err := i.exists(reading, o.Job)
		read <- existence{exists, err}
	}()
	reply, _ := i.ask(ctx, laddermessage.IntakeQuery{Offer: o, Cause: d.Cause}, leaderQueryTimeout)
	answer, ok := reply.(laddermessage.IntakeTurn)
	turn := ladderintake.Turn{Wait: answer.Wait, Promised: answer.Promised, Ready: answer.Ready}
	switch {
	case answer.Found:
		return turn, false
	case !ok:
		turn = i.ownTurn(o, d)
	}
	if turn.Ready {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.gate.AdmittedByLeader(i.now(), o)
		return turn, false
	}
	e := <-read
	switch {
	case e.err != nil:
		i.admitUnchecked(o, "the store does not tell whether the job was accepted before")
		return turn, false
	case e.exists:
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
	i.gate.Admitted(i.now(), o)
}

// settle records the outcome of a submission. The leader is told of one that is unknown, since its caller comes
// back to other VMs.
func (i *intake) settle(job *ladderflow.Job, outcome ladderjournal.Outcome) {
	if job.Team == "" {
		return
	}
	if i.settled(job.ID, outcome) {
		i.report(true)
	}
}

// settled records the outcome of a submission. It returns true if the leader should be told of it.
func (i *intake) settled(id string, outcome ladderjournal.Outcome) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch outcome {
	case ladderjournal.OutcomeUnknown:
		i.unsettled.Unknown(i.now(), id)
		i.unreported = append(i.unreported, id)
		return true
	case ladderjournal.Rejected:
		i.unsettled.Rejected(id)
	default:
		i.unsettled.Stored(id)
	}
	return false
}

// report tells the leader what this VM was offered, and learns which teams are limited, unless the last
// report is recent. If there is an unsettled job to tell of, it does so at once, but for a report that is under way.
func (i *intake) report(unsettled bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	sent := i.now()
	if i.reporting || !unsettled && !i.reportedAt.IsZero() && sent.Sub(i.reportedAt) < ladderintake.ReportInterval {
		return
	}
	m := laddermessage.IntakeReport{VM: i.vm.settings.Name, Counts: i.gate.Report(sent)}
	m.Unsettled, i.unreported = i.unreported[max(0, len(i.unreported)-maxReportedUnsettled):], nil
	i.reporting, i.reportedAt = true, sent
	i.vm.wait.Go(func() {
		reply, _ := i.ask(context.Background(), m, notifyTimeout)
		limits, ok := reply.(laddermessage.IntakeLimits)
		if i.reported(sent, m, limits, ok) {
			i.report(true)
		}
	})
}

// reported records the leader's reply to a report, or that there was none. It returns true if there are more
// unsettled jobs to tell of.
func (i *intake) reported(sent time.Time, m laddermessage.IntakeReport, limits laddermessage.IntakeLimits, ok bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.reporting = false
	if !ok {
		i.gate.Unreported(m.Counts)
		i.unreported = append(m.Unsettled, i.unreported...)
		return false
	}
	i.gate.Heard(sent, limits.Limits, i.vm.vmCount())
	i.vm.stats.set.GetOrCreateGauge("ladder_limits_age_seconds", func() float64 {
		i.mu.Lock()
		defer i.mu.Unlock()
		age, _ := i.gate.Age(i.now())
		return age.Seconds()
	})
	return len(i.unreported) > 0
}

// vmCount returns the number of registered VMs, of which this is one.
func (v *VM) vmCount() int { return 1 + len(v.registry.registered()) }

// retryAfter states in how many seconds the caller should come back.
func (x *exchange) retryAfter(seconds int) {
	x.writer.Header().Set("Retry-After", strconv.Itoa(seconds))
}

// retrySeconds returns after how many seconds a caller should come back while it is not known when it can be
// served: with teams, callers that submit jobs are spread over the time for which callers usually wait for an
// answer, so that they do not all come back together.
func (x *exchange) retrySeconds(seconds int) int {
	if x.fleet == nil || len(x.fleet.Teams) == 0 || x.request.Method != http.MethodPost {
		return seconds
	}
	return ladderintake.Spread(x.jobID, defaultDeadline)
}
