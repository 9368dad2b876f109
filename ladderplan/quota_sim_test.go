package ladderplan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// quotaSim plays leaders, one after the other, that run the jobs of teams. For some time after each takeover, the
// earlier leader acts on the workers that the new one does not reach yet.
type quotaSim struct {
	t       *testing.T
	r       *rand.Rand
	now     time.Time
	fleet   *ladderflow.FleetConfig
	workers []*quotaWorker
	leaders []*quotaLeader
	// jobs holds the stored jobs, and records and cancelled what else is stored.
	jobs      []*ladderflow.Job
	records   map[string]Record
	cancelled []string
	due       []simEvent
	caps      []quotaCap
	starts    int
	broken    []string
}

// quotaCap is the quota of each team from a time on.
type quotaCap struct {
	at    time.Time
	quota map[string]int
}

type quotaWorker struct {
	spec    ladderflow.Worker
	term    int
	lease   time.Duration
	runs    []*quotaRun
	ends    []ladderflow.EndedRun
	seq     int64
	highest map[ladderflow.Task]int
	// cutFrom holds the terms of the leaders that do not reach the worker.
	cutFrom map[int]bool
}

type quotaRun struct {
	run    ladderflow.Run
	endsAt time.Time
}

type quotaLeader struct {
	planner *Planner
	term    int
	// fleet is the number of the configuration that the leader has.
	fleet  int
	loadAt time.Time
	loaded bool
	// known is the number of jobs that the leader knows, and told the number of cancellations.
	known, told int
	// confirmedUntil is when the leader's lease ends, and endsAt when it stops to act.
	confirmedUntil, endsAt time.Time
}

// quotaOffset is the reading of the workers' clocks at time zero of the simulation.
func (s *quotaSim) clock() time.Duration { return s.now.Sub(time.UnixMilli(0)) }

func (s *quotaSim) after(d time.Duration, do func()) {
	s.due = append(s.due, simEvent{s.now.Add(d), do})
}

func (s *quotaSim) millis(n int) time.Duration { return time.Duration(s.r.IntN(n)) * time.Millisecond }

func (s *quotaSim) job(id string) *ladderflow.Job {
	i := slices.IndexFunc(s.jobs, func(j *ladderflow.Job) bool { return j.ID == id })
	return s.jobs[i]
}

// used returns the processor amount that the runs of a team have at all workers.
func (s *quotaSim) used(team string) int {
	n := 0
	for _, w := range s.workers {
		for _, x := range w.runs {
			if j := s.job(x.run.Task.Job); j.Team == team {
				n += j.Steps[x.run.Task.Step].Need.Processor
			}
		}
	}
	return n
}

// highestQuota returns the highest quota of a team that was in force in the last few seconds, in which an order may
// have been under way.
func (s *quotaSim) highestQuota(team string) int {
	highest := 0
	for i, c := range s.caps {
		if last := i == len(s.caps)-1; last || s.now.Sub(s.caps[i+1].at) < 6*time.Second {
			highest = max(highest, c.quota[team])
		}
	}
	return highest
}

// setQuotas sets a random quota of at least the given number of processors for each team.
func (s *quotaSim) setQuotas(least int) {
	c := quotaCap{at: s.now, quota: map[string]int{}}
	s.fleet = &ladderflow.FleetConfig{Queues: withQuota(1).Queues}
	s.fleet.Queues[0].MaxFailures = 1000
	for _, team := range []string{"a", "b"} {
		c.quota[team] = 1000 * (least + s.r.IntN(20))
		s.fleet.Teams = append(s.fleet.Teams, ladderflow.Team{Name: team, Quota: ladderflow.Size{Processor: c.quota[team]}})
	}
	s.caps = append(s.caps, c)
	f, number := s.fleet, len(s.caps)
	for _, l := range s.leaders {
		s.after(s.millis(2000), func() { l.setFleet(f, number) }) // It may have been paused.
	}
}

// setFleet gives the leader a configuration, unless it has a newer one.
func (l *quotaLeader) setFleet(f *ladderflow.FleetConfig, number int) {
	if number > l.fleet {
		l.planner.SetFleet(f)
		l.fleet = number
	}
}

func (s *quotaSim) submit() {
	step := stepOf(1 + s.r.IntN(6))
	step.Need.Processor = 500 * (1 + s.r.IntN(6))
	step.Need.Memory = 10
	step.Gang = s.r.IntN(3) == 0
	step.BestEffort = s.r.IntN(6) == 0
	if step.Gang {
		step.Tasks = min(step.Tasks, 6000/step.Need.Processor) // It fits every quota.
	}
	team := []string{"a", "a", "b", ""}[s.r.IntN(4)]
	j := teamJob(s.now, team, fmt.Sprintf("j%d", len(s.jobs)), step)
	s.jobs = append(s.jobs, j)
	if s.r.IntN(5) == 0 {
		s.after(s.millis(3000), func() { s.cancelled = append(s.cancelled, j.ID) })
	}
}

// takeOver elects a new leader. The earlier one may act for a while on workers that the new one does not reach.
func (s *quotaSim) takeOver() {
	term := 1
	for _, l := range s.leaders {
		term = l.term + 1
		l.confirmedUntil = earlier(l.confirmedUntil, s.now.Add(s.millis(1000)))
		l.endsAt = earlier(l.endsAt, s.now.Add(s.millis(2000)))
	}
	next := &quotaLeader{planner: newPlanner(s.now), term: term, loadAt: s.now.Add(s.millis(800))}
	next.setFleet(s.fleet, len(s.caps))
	next.confirmedUntil, next.endsAt = s.now.Add(time.Hour), s.now.Add(time.Hour)
	for _, w := range s.workers {
		if s.r.IntN(3) == 0 {
			w.cutFrom[term] = true
			s.after(s.millis(9000), func() { delete(w.cutFrom, term) })
		} else if s.r.IntN(2) == 0 {
			w.cutFrom[term-1] = true // The earlier leader does not learn of the new one here.
		}
	}
	s.leaders = append(s.leaders, next)
}

func (s *quotaSim) load(l *quotaLeader) {
	l.loaded = true
	specs, roster := []ladderflow.Worker{}, map[string]bool{}
	for _, w := range s.workers {
		specs, roster[w.spec.ID] = append(specs, w.spec), true
		if l.term > 1 {
			l.planner.AddEarlierWorker(w.spec)
		}
	}
	for _, j := range s.jobs {
		l.planner.AddJob(s.now, j, true)
		if r, ok := s.records[j.ID]; ok {
			l.planner.Restore(s.now, r)
		}
	}
	for _, id := range s.cancelled {
		l.planner.Cancel(s.now, id)
	}
	l.known, l.told = len(s.jobs), len(s.cancelled)
	l.planner.SetRoster(roster)
	l.planner.SetWorkers(s.now, specs)
}

// hear tells a leader what was stored.
func (s *quotaSim) hear(l *quotaLeader) {
	for ; l.known < len(s.jobs); l.known++ {
		l.planner.AddJob(s.now, s.jobs[l.known], false)
	}
	l.planner.SetJobsReadAt(s.now)
	for ; l.told < len(s.cancelled); l.told++ {
		l.planner.Cancel(s.now, s.cancelled[l.told])
	}
}

func (s *quotaSim) end(w *quotaWorker, x *quotaRun, reason ladderflow.EndReason) {
	w.runs = slices.DeleteFunc(w.runs, func(o *quotaRun) bool { return o == x })
	w.seq++
	w.highest[x.run.Task] = max(w.highest[x.run.Task], x.run.Number)
	w.ends = append(w.ends, ladderflow.EndedRun{Sequence: w.seq, Run: x.run, Reason: reason})
}

func (s *quotaSim) worker(id string) *quotaWorker {
	i := slices.IndexFunc(s.workers, func(w *quotaWorker) bool { return w.spec.ID == id })
	return s.workers[i]
}

// arrive carries out a start.
func (s *quotaSim) arrive(l *quotaLeader, o StartOrder) Result {
	w := s.worker(o.Worker.ID)
	switch {
	case w.term > l.term:
		return Result{Refusal: ladderflow.RefusedFenced}
	case o.LeaseUntil <= s.clock():
		return Result{Refusal: ladderflow.RefusedExpired}
	case w.highest[o.Run.Task] >= o.Run.Number:
		return Result{Refusal: ladderflow.RefusedOldRun}
	}
	w.term, w.lease = l.term, max(w.lease, o.LeaseUntil)
	if slices.ContainsFunc(w.runs, func(x *quotaRun) bool { return x.run == o.Run }) {
		return Result{}
	}
	s.starts++
	w.runs = append(w.runs, &quotaRun{run: o.Run, endsAt: s.now.Add(200*time.Millisecond + s.millis(1800))})
	team := s.job(o.Run.Task.Job).Team
	if used, quota := s.used(team), s.highestQuota(team); team != "" && used > quota {
		s.broken = append(s.broken, fmt.Sprintf("%v: leader %d starts %v run %d on %s: team %s has %d of %d", s.clock(), l.term, o.Run.Task, o.Run.Number, w.spec.ID, team, used, quota))
	}
	return Result{}
}

func (s *quotaSim) send(l *quotaLeader, o Orders) {
	for _, o := range o.Starts {
		d, lost := 10*time.Millisecond+s.millis(200), s.r.IntN(20) == 0 || s.worker(o.Worker.ID).cutFrom[l.term]
		result := Result{Unknown: true}
		if !lost || s.r.IntN(2) == 0 {
			if s.r.IntN(15) == 0 {
				s.after(d+s.millis(2500), func() { s.arrive(l, o) }) // It is carried out late.
				lost = true
			} else {
				s.after(d, func() {
					if r := s.arrive(l, o); !lost {
						result = r
					}
				})
			}
		}
		s.after(d+20*time.Millisecond, func() { l.planner.StartSettled(s.now, o.Worker.ID, o.Run, result) })
	}
	for _, o := range o.Stops {
		w := s.worker(o.Worker.ID)
		if s.r.IntN(10) == 0 || w.cutFrom[l.term] {
			s.after(500*time.Millisecond, func() { l.planner.StopSettled(s.now, o.Worker.ID, o.Run, Result{Unknown: true}) })
			continue
		}
		s.after(20*time.Millisecond+s.millis(100), func() {
			if w.term > l.term {
				l.planner.StopSettled(s.now, o.Worker.ID, o.Run, Result{Refusal: ladderflow.RefusedFenced})
				return
			}
			w.term = l.term
			w.highest[o.Run.Task] = max(w.highest[o.Run.Task], o.Run.Number)
			for _, x := range w.runs {
				if x.run == o.Run {
					x.endsAt = earlier(x.endsAt, s.now.Add(100*time.Millisecond+s.millis(700)))
				}
			}
			l.planner.StopSettled(s.now, o.Worker.ID, o.Run, Result{})
		})
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (s *quotaSim) poll(l *quotaLeader, w *quotaWorker) {
	n, ok := l.planner.NextPoll(s.now, w.spec.ID)
	if !ok {
		return
	}
	switch {
	case w.cutFrom[l.term]:
		l.planner.PollFailed(w.spec.ID, false)
		return
	case w.term > l.term:
		l.planner.PollFailed(w.spec.ID, true)
		return
	}
	w.term, w.lease = l.term, max(w.lease, n.LeaseUntil)
	w.ends = slices.DeleteFunc(w.ends, func(e ladderflow.EndedRun) bool { return e.Sequence <= n.Acknowledged })
	report := ladderflow.StatusReport{Incarnation: 1, Clock: s.clock(), Ended: slices.Clone(w.ends)}
	for _, x := range w.runs {
		report.Running = append(report.Running, ladderflow.ActiveRun{Run: x.run, Percent: int(s.clock()/(20*time.Millisecond)) % 90})
	}
	sent := s.now
	s.after(s.millis(100), func() { l.planner.RecordReport(s.now, w.spec.ID, sent, report) })
}

func (s *quotaSim) tick() {
	for i := 0; i < len(s.due); i++ {
		if e := s.due[i]; !e.at.After(s.now) {
			s.due = slices.Delete(s.due, i, i+1)
			i--
			e.do()
		}
	}
	for _, w := range s.workers {
		for _, x := range slices.Clone(w.runs) {
			switch {
			case w.lease <= s.clock():
				s.end(w, x, ladderflow.EndLeaseExpired)
			case !s.now.Before(x.endsAt) && w.highest[x.run.Task] >= x.run.Number:
				s.end(w, x, ladderflow.EndStopped)
			case !s.now.Before(x.endsAt):
				s.end(w, x, ladderflow.EndDone)
			}
		}
	}
	passed := int(s.clock() / simTick)
	for i, l := range s.leaders {
		if s.now.Before(l.loadAt) || !s.now.Before(l.endsAt) || l.planner.Superseded() {
			continue
		}
		if !l.loaded {
			s.load(l)
		}
		confidence := LeadershipProbable
		if s.now.Before(l.confirmedUntil) {
			confidence = LeadershipConfirmed
			s.hear(l)
		}
		for k, w := range s.workers {
			if (passed+k)%8 == 0 {
				s.poll(l, w)
			}
		}
		s.send(l, l.planner.Plan(s.now, s.now, confidence))
		if i == len(s.leaders)-1 && passed%10 == 0 {
			b := l.planner.NextBatch()
			for _, r := range b.Records {
				s.records[r.Job] = r
			}
			l.planner.BatchStored(b)
		}
	}
	s.now = s.now.Add(simTick)
}

func (s *quotaSim) runFor(d time.Duration, each func()) {
	for end := s.now.Add(d); s.now.Before(end); {
		each()
		s.tick()
	}
}

// TestQuotaHoldsUnderSeveralLeaders plays random histories: takeovers with an earlier leader that still acts, cut-off
// workers, lost answers, late orders, cancellations and changed quotas. What a team has running at all workers
// never exceeds the highest quota that may be in force, and all jobs end.
func TestQuotaHoldsUnderSeveralLeaders(t *testing.T) {
	starts := 0
	for seed := range uint64(60) {
		s := &quotaSim{t: t, r: rand.New(rand.NewPCG(seed, 53)), now: time.UnixMilli(1_000_000), records: map[string]Record{}}
		for i := range 8 {
			s.workers = append(s.workers, &quotaWorker{spec: testWorker(i), highest: map[ladderflow.Task]int{}, cutFrom: map[int]bool{}})
		}
		s.setQuotas(6)
		s.takeOver()
		s.runFor(20*time.Second, func() {
			if s.r.IntN(10) == 0 {
				s.submit()
			}
			if s.r.IntN(250) == 0 {
				s.takeOver()
			}
			if s.r.IntN(150) == 0 {
				s.setQuotas(6)
			}
		})
		require.Empty(t, s.broken, "seed %d", seed)
		s.setQuotas(12)
		s.runFor(60*time.Second, func() {})
		require.Empty(t, s.broken, "seed %d", seed)
		last := s.leaders[len(s.leaders)-1].planner
		for _, j := range s.jobs {
			e, _ := last.Explain(s.now, j.ID)
			require.Contains(t, []ladderflow.State{ladderflow.Done, ladderflow.Cancelled}, last.jobs[j.ID].state, "seed %d: %v", seed, e)
		}
		starts += s.starts
	}
	t.Log("starts", starts)
}
