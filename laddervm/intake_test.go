package laddervm

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclock"
	"lacewingladder/ladderflow"
	"lacewingladder/ladderintake"
	"lacewingladder/ladderjournal"
	"lacewingladder/laddermessage"
	"lacewingladder/ladderplan"
	"lacewingladder/platform"
)

// testBoot is a clock that changes only when it is set.
type testBoot struct{ atomic.Int64 }

func (b *testBoot) SinceBoot() time.Duration { return time.Duration(b.Load()) }

// intakeFakes plays the leader and the store of a VM whose team is limited.
type intakeFakes struct {
	boot testBoot
	// turn is the leader's answer to a query, if it answers.
	turn   *laddermessage.IntakeTurn
	limits atomic.Pointer[laddermessage.IntakeLimits]
	// stored holds the jobs that the store has, and err is its error.
	stored []string
	err    error
	asked  atomic.Int64
	counts chan []ladderintake.Count
	// unsettled receives the unsettled jobs of reports.
	unsettled chan []string
}

// jobDue is when the first tasks of the jobs that are submitted must have ended.
const jobDue = 9500 * time.Millisecond

var errNoAnswer = errors.New("no answer")

// newIntakeVM returns a VM with a team, the limits of which it heard just now.
func newIntakeVM(t *testing.T, f *intakeFakes) (*VM, *ladderflow.FleetConfig) {
	v := newTestVM(t, "e1")
	f.boot.Store(int64(time.Hour))
	f.unsettled = make(chan []string, 10_000)
	f.counts = make(chan []ladderintake.Count, 10_000)
	v.boot = &f.boot
	v.intake.exists = func(_ context.Context, id string) (bool, error) { return slices.Contains(f.stored, id), f.err }
	v.intake.ask = func(_ context.Context, m laddermessage.Message, _ time.Duration) (laddermessage.Message, bool) {
		switch m := m.(type) {
		case laddermessage.IntakeQuery:
			f.asked.Add(1)
			if f.turn != nil {
				return *f.turn, true
			}
		case laddermessage.IntakeReport:
			f.counts <- m.Counts
			f.unsettled <- m.Unsettled
			if l := f.limits.Load(); l != nil {
				return *l, true
			}
		}
		return nil, false
	}
	fleet := &ladderflow.FleetConfig{
		Queues: []ladderflow.Queue{{Name: "queue", Service: "service", ObjectiveFactor: 2, BaseObjective: 8 * time.Second}},
		Teams:  []ladderflow.Team{{Name: "hot", Weight: 2}, {Name: "calm", Weight: 2}},
	}
	v.intake.gate.Heard(v.intake.now(), limitsOf("hot", 2500*time.Millisecond), 1)
	v.intake.reportedAt = v.intake.now()
	return v, fleet
}

// limitsOf returns a limit of a team to two jobs a second for all jobs, for which there is room after a wait.
func limitsOf(team string, wait time.Duration) []ladderintake.Limit {
	limit := ladderintake.Limit{Key: ladderintake.Key{Service: "service", Team: team}, Rate: 2}
	for c := range limit.Backlogs {
		limit.Backlogs[c] = jobDue + wait
	}
	return []ladderintake.Limit{limit}
}

// submitTo offers a job to a VM and returns the status and Retry-After of the response, or zeros if the job
// is to be submitted to the store.
func submitTo(v *VM, fleet *ladderflow.FleetConfig, team, id string) (status, retry int) {
	return submitLong(v, fleet, team, id, time.Second)
}

// submitLong is as submitTo, for a job that takes the given time.
func submitLong(v *VM, fleet *ladderflow.FleetConfig, team, id string, estimate time.Duration) (status, retry int) {
	w := httptest.NewRecorder()
	x := &exchange{
		writer: w, request: httptest.NewRequest(http.MethodPost, "/"+id, http.NoBody), ctx: context.Background(),
		queue: &fleet.Queues[0], fleet: fleet, jobID: id,
	}
	job := &ladderflow.Job{ID: id, Queue: "queue", Service: "service", Team: team, Steps: []ladderflow.Step{{Tasks: 1, Estimate: estimate}}}
	if v.intake.admit(x, job) {
		return 0, 0
	}
	retry, _ = strconv.Atoi(w.Header().Get("Retry-After"))
	return w.Code, retry
}

// TestRefusal checks which jobs of a limited team are refused, and that none is that may have been accepted
// before.
func TestRefusal(t *testing.T) {
	for name, c := range map[string]struct {
		team    string
		turn    *laddermessage.IntakeTurn
		stored  bool
		err     error
		refused bool
		retry   int
		unasked bool
	}{
		"the leader gives a turn":              {team: "hot", turn: &laddermessage.IntakeTurn{Wait: 4200 * time.Millisecond}, refused: true, retry: 5},
		"the leader does not answer":           {team: "hot", refused: true, retry: 4},
		"the answer was lost, leader knows":    {team: "hot", turn: &laddermessage.IntakeTurn{Found: true}},
		"the answer was lost, store knows":     {team: "hot", turn: &laddermessage.IntakeTurn{Wait: time.Second}, stored: true},
		"the answer was lost, nobody can tell": {team: "hot", err: errNoAnswer},
		"the caller returns in its turn":       {team: "hot", turn: &laddermessage.IntakeTurn{Promised: true, Ready: true}},
		"the team is not limited":              {team: "calm", unasked: true},
		"the job has no team":                  {unasked: true},
		"the team is not configured":           {team: "gone", unasked: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := &intakeFakes{turn: c.turn, err: c.err}
			v, fleet := newIntakeVM(t, f)
			if c.stored {
				f.stored = []string{"a"}
			}
			status, retry := submitTo(v, fleet, c.team, "a")
			require.Equal(t, c.refused, status == http.StatusTooManyRequests, status)
			require.Equal(t, c.retry, retry)
			require.Equal(t, c.unasked, f.asked.Load() == 0)
		})
	}
}

// TestCallerGoesDuringCheck lets a caller go while its refusal is being checked. Its job must not be submitted, and
// the answer, if it still arrives, must not say that the job was never accepted.
func TestCallerGoesDuringCheck(t *testing.T) {
	f := &intakeFakes{}
	v, fleet := newIntakeVM(t, f)
	ctx, cancel := context.WithCancel(t.Context())
	v.intake.exists = func(ctx context.Context, _ string) (bool, error) {
		cancel()
		return false, ctx.Err()
	}
	w := httptest.NewRecorder()
	x := &exchange{writer: w, request: httptest.NewRequest(http.MethodPost, "/a", http.NoBody), ctx: ctx, queue: &fleet.Queues[0], fleet: fleet, jobID: "a"}
	job := &ladderflow.Job{ID: "a", Queue: "queue", Service: "service", Team: "hot", Steps: []ladderflow.Step{{Tasks: 1, Estimate: time.Second}}}
	require.False(t, v.intake.admit(x, job))
	require.Equal(t, http.StatusGatewayTimeout, w.Code)
}

// TestUnknownOutcomeIsNotRefused submits a job with an unknown outcome while there is room. When it comes
// again, there is none: the store may still take the first submission.
func TestUnknownOutcomeIsNotRefused(t *testing.T) {
	f := &intakeFakes{turn: &laddermessage.IntakeTurn{Wait: time.Second}}
	v, fleet := newIntakeVM(t, f)
	for id, outcomes := range map[string][]ladderjournal.Outcome{
		"unknown": {ladderjournal.OutcomeUnknown}, "rejected": {ladderjournal.Rejected},
		"unknown-then-rejected": {ladderjournal.OutcomeUnknown, ladderjournal.Rejected},
	} {
		refused := outcomes[0] == ladderjournal.Rejected
		for _, outcome := range outcomes {
			v.intake.gate.Heard(v.intake.now(), nil, 1)
			status, _ := submitTo(v, fleet, "calm", id)
			require.Zero(t, status)
			v.intake.settle(&ladderflow.Job{ID: id, Team: "calm"}, outcome)
		}
		v.intake.gate.Heard(v.intake.now(), limitsOf("calm", 5*time.Second), 1)
		status, _ := submitTo(v, fleet, "calm", id)
		require.Equal(t, refused, status == http.StatusTooManyRequests, id)
	}
}

// TestUnknownOutcomeIsReported checks that the leader hears at once of a job whose outcome is unknown, and that no VM
// that asks it refuses the job.
func TestUnknownOutcomeIsReported(t *testing.T) {
	f := &intakeFakes{}
	f.limits.Store(&laddermessage.IntakeLimits{})
	v, _ := newIntakeVM(t, f)
	v.intake.settle(&ladderflow.Job{ID: "a", Team: "hot"}, ladderjournal.OutcomeUnknown)
	v.wait.Wait()
	require.Equal(t, []string{"a"}, <-f.unsettled)
	term := newTestTerm(t, v)
	term.call(t.Context(), func() { term.loaded = true })
	_, err := term.handleMessage(t.Context(), laddermessage.IntakeReport{VM: "e1", Unsettled: []string{"a"}})
	require.NoError(t, err)
	reply, err := term.handleMessage(t.Context(), laddermessage.IntakeQuery{Offer: ladderintake.Offer{Job: "a"}})
	require.NoError(t, err)
	require.Equal(t, laddermessage.IntakeTurn{Found: true}, reply)
}

// TestCheckAsksBothAtOnce checks that a refusal waits for the leader and for the store at the same time.
func TestCheckAsksBothAtOnce(t *testing.T) {
	f := &intakeFakes{}
	v, fleet := newIntakeVM(t, f)
	read := make(chan struct{})
	v.intake.exists = func(context.Context, string) (bool, error) {
		close(read)
		return false, nil
	}
	v.intake.ask = func(context.Context, laddermessage.Message, time.Duration) (laddermessage.Message, bool) {
		<-read
		return laddermessage.IntakeTurn{Wait: time.Second}, true
	}
	status, _ := submitTo(v, fleet, "hot", "a")
	require.Equal(t, http.StatusTooManyRequests, status)
}

// TestPromiseIsKeptWithoutLeader refuses a caller at a VM that is cut off from the leader, since its team is
// ahead of its rate. The caller must be admitted when it returns to the same VM in its turn, also though the team
// is ahead again.
func TestPromiseIsKeptWithoutLeader(t *testing.T) {
	f := &intakeFakes{}
	v, fleet := newIntakeVM(t, f)
	// The jobs must end their first tasks within 20 s, and are allowed to take 4 s longer.
	const estimate, due = 8 * time.Second, 20 * time.Second
	// refuse submits jobs until one is refused, and returns its number and Retry-After.
	refuse := func(from int) (int, int) {
		v.intake.gate.Heard(v.intake.now(), limitsOf("hot", due+1500*time.Millisecond-jobDue), 1)
		for i := from; ; i++ {
			require.Less(t, i, 1000)
			if status, retry := submitLong(v, fleet, "hot", fmt.Sprint(i), estimate); status != 0 {
				return i, retry
			}
		}
	}
	first, retry := refuse(0)
	f.boot.Add(int64(time.Duration(retry) * time.Second))
	_, _ = refuse(first + 1)
	status, _ := submitLong(v, fleet, "hot", fmt.Sprint(first), estimate)
	require.Zero(t, status, "its turn has come")
}

// TestCutOffVM lets a VM hear nothing from the leader after it has heard that a team is limited. Its jobs are
// then limited to the team's weight, and what was not reported is reported later.
func TestCutOffVM(t *testing.T) {
	f := &intakeFakes{}
	v, fleet := newIntakeVM(t, f)
	admitted := 0
	const seconds = 20
	for i := range seconds * 20 {
		f.boot.Add(int64(50 * time.Millisecond))
		if status, _ := submitTo(v, fleet, "hot", fmt.Sprint(i)); status == 0 {
			admitted++
		}
	}
	burst := 2 * ladderintake.ClassOf(9*time.Second).Horizon().Seconds()
	require.InDelta(t, 2*seconds+burst, admitted, 10)
	v.wait.Wait()
	f.limits.Store(&laddermessage.IntakeLimits{})
	f.boot.Add(int64(ladderintake.ReportInterval))
	status, _ := submitTo(v, fleet, "calm", "last")
	require.Zero(t, status)
	v.wait.Wait()
	age, _ := v.intake.gate.Age(v.intake.now())
	require.Zero(t, age)
	close(f.counts)
	reported := 0
	for counts := range f.counts {
		for _, c := range counts {
			if c.Team == "hot" {
				reported = c.Admitted + c.Referred
			}
		}
	}
	require.Equal(t, seconds*20, reported, "all offers are reported once the leader answers")
}

// TestNewLeaderStatesNoLimits checks that a leader that has not read the store states nothing, so that VMs
// keep what they heard from the leader before.
func TestNewLeaderStatesNoLimits(t *testing.T) {
	v := newTestVM(t, "e1")
	term := newTestTerm(t, v)
	for name, m := range map[string]laddermessage.Message{
		"report": laddermessage.IntakeReport{VM: "e2"},
		"query":  laddermessage.IntakeQuery{Offer: ladderintake.Offer{Job: "a"}},
	} {
		t.Run(name, func(t *testing.T) {
			reply, err := term.handleMessage(t.Context(), m)
			require.NoError(t, err)
			require.Equal(t, laddermessage.NotLeader{}, reply)
		})
	}
}

// TestClocks checks that decisions do not depend on the time of day, and that what a VM heard before it was
// suspended is old afterwards.
func TestClocks(t *testing.T) {
	f := &intakeFakes{turn: &laddermessage.IntakeTurn{Wait: time.Second}}
	v, fleet := newIntakeVM(t, f)
	v.clock = ladderclock.NewManual(time.Now().Add(-24 * time.Hour))
	status, _ := submitTo(v, fleet, "hot", "a")
	require.Equal(t, http.StatusTooManyRequests, status, "the time of day has been set back by a day")
	f.boot.Add(int64(time.Hour))
	status, _ = submitTo(v, fleet, "hot", "a")
	require.Zero(t, status, "the VM was suspended for an hour")
}

// TestLeaderLimits lets a leader learn of more jobs of a team than its worker can run in time. It must state
// the limit to a VM that reports, and know the jobs that it was told of.
func TestLeaderLimits(t *testing.T) {
	v := newTestVM(t, "e1")
	v.fleet.Store(&ladderflow.FleetConfig{
		Queues: []ladderflow.Queue{{Name: "queue", Service: "service", ObjectiveFactor: 2, BaseObjective: 8 * time.Second}},
		Teams:  []ladderflow.Team{{Name: "hot", Weight: 2}, {Name: "calm", Weight: 2}},
	})
	term := newTestTerm(t, v)
	size := ladderflow.Size{Processor: 1000, Memory: 1000}
	worker := ladderflow.Worker{ID: "w", Service: "service", Capacity: size}
	term.call(t.Context(), func() {
		term.loaded = true
		now := v.clock.Now()
		term.planner.SetWorkers(now, []ladderflow.Worker{worker})
		term.planner.SetRoster(map[string]bool{"w": true})
		term.planner.RecordReport(now, "w", now, ladderflow.StatusReport{Incarnation: 1, Clock: time.Second})
		for i := range 50 {
			term.planner.AddJob(now, &ladderflow.Job{
				ID: fmt.Sprint(i), Queue: "queue", Service: "service", Team: "hot", Accepted: now,
				Steps: []ladderflow.Step{{Tasks: 1, Need: size, Estimate: time.Second}},
			}, false)
		}
		term.planner.Plan(now, now, ladderplan.LeadershipConfirmed)
	})
	reply, err := term.handleMessage(t.Context(), laddermessage.IntakeReport{VM: "e2"})
	require.NoError(t, err)
	limits, ok := reply.(laddermessage.IntakeLimits)
	require.True(t, ok, "%T", reply)
	require.Len(t, limits.Limits, 1)
	require.Equal(t, ladderintake.Key{Service: "service", Team: "hot"}, limits.Limits[0].Key)
	require.InDelta(t, 50, limits.Limits[0].Backlogs[ladderintake.ClassOf(9*time.Second)].Seconds(), 1)
	o := ladderintake.Offer{
		Key: limits.Limits[0].Key, Job: "7", Weight: 2, Objective: 20 * time.Second, Due: 9 * time.Second, Class: ladderintake.ClassOf(9 * time.Second),
	}
	reply, err = term.handleMessage(t.Context(), laddermessage.IntakeQuery{Offer: o})
	require.NoError(t, err)
	require.Equal(t, laddermessage.IntakeTurn{Found: true}, reply)
	o.Job = "70"
	reply, err = term.handleMessage(t.Context(), laddermessage.IntakeQuery{Offer: o})
	require.NoError(t, err)
	require.InDelta(t, 50-9, reply.(laddermessage.IntakeTurn).Wait.Seconds(), 1)
}

// TestRetryAfterDuringOutages checks that callers are spread only if the configuration has teams, and that no
// caller is told to wait longer than it would for an answer.
func TestRetryAfterDuringOutages(t *testing.T) {
	for name, c := range map[string]struct {
		teams  []ladderflow.Team
		method string
		want   []int
	}{
		"no teams": {method: http.MethodPost, want: []int{retryAfterSeconds}},
		"teams":    {teams: []ladderflow.Team{{Name: "hot"}}, method: http.MethodPost, want: []int{1, 2, 3}},
		"state":    {teams: []ladderflow.Team{{Name: "hot"}}, method: http.MethodGet, want: []int{retryAfterSeconds}},
		"cancel":   {teams: []ladderflow.Team{{Name: "hot"}}, method: http.MethodDelete, want: []int{retryAfterSeconds}},
	} {
		t.Run(name, func(t *testing.T) {
			seen := map[int]bool{}
			for i := range 100 {
				w := httptest.NewRecorder()
				x := &exchange{
					writer: w, request: httptest.NewRequest(c.method, "/", http.NoBody), fleet: &ladderflow.FleetConfig{Teams: c.teams},
					jobID: fmt.Sprintf("%016x", i),
				}
				x.request.Header.Set(platform.DeadlineHeader, "3600000")
				x.failRetryable(http.StatusServiceUnavailable, retryAfterSeconds, "")
				seconds, err := strconv.Atoi(w.Header().Get("Retry-After"))
				require.NoError(t, err)
				require.Contains(t, c.want, seconds)
				seen[seconds] = true
			}
			require.Len(t, seen, len(c.want))
		})
	}
}
