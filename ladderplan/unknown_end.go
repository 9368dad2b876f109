package ladderplan

import (
	"slices"
	"time"

	"lacewingladder/ladderflow"
)

// unknownEnd is the end of a run whose job, or whose round of a job, the leader does not know yet. An
// earlier leader has started it. The end is held until the job is known, since a worker forgets an end
// that is acknowledged.
type unknownEnd struct {
	ended  ladderflow.EndedRun
	seenAt time.Time
}

// unknown reports whether the leader may yet learn of a task.
func (p *Planner) unknown(t ladderflow.Task) bool {
	j, ok := p.jobs[t.Job]
	if !ok {
		return true
	}
	return j.active() && j.rounds[t.Round] == nil && !j.completedRounds[t.Round] && t.Round < max(1, j.spec.Rounds)
}

// holdEnd holds the end of a run whose job is unknown.
func (w *worker) holdEnd(now time.Time, e ladderflow.EndedRun) {
	w.unknownEnds = append(w.unknownEnds, unknownEnd{e, now})
}

// recordHeld records the runs and ends that were held until a round of a job was known.
func (p *Planner) recordHeld(now time.Time, r *round) {
	for _, w := range p.allWorkers() {
		if w.unknownRuns > 0 {
			p.recordHeldRuns(now, w, r)
		}
		for i := 0; i < len(w.unknownEnds); {
			e := w.unknownEnds[i].ended
			if e.Run.Task.Job != r.job.spec.ID || e.Run.Task.Round != r.index {
				i++
				continue
			}
			w.unknownEnds = slices.Delete(w.unknownEnds, i, i+1)
			p.endRun(now, w, e)
		}
	}
}

// dropHeldEnds drops the ends of which the leader will not learn the task, so that they are acknowledged.
func (p *Planner) dropHeldEnds(w *worker) {
	w.unknownEnds = slices.DeleteFunc(w.unknownEnds, func(u unknownEnd) bool {
		stays := p.staysUnknown(u.ended.Run.Task, u.seenAt)
		if stays {
			p.log.Info("end of an unknown job ignored", "task", u.ended.Run.Task, "run", u.ended.Run.Number,
				"worker", w.spec.ID, "result", u.ended.Reason)
		}
		return stays
	})
}

// staysUnknown reports whether the leader will not learn of a task, a run of which it has seen at the
// given time. The store held the task's job by then, so a later read shows the job unless it was
// deleted. An earlier leader has started the round of a known job, so the round is due soon.
func (p *Planner) staysUnknown(t ladderflow.Task, seenAt time.Time) bool {
	if _, ok := p.jobs[t.Job]; ok {
		return !p.unknown(t)
	}
	return !p.jobsReadAt.Before(seenAt)
}

// lastKnownEnd returns the number up to which the worker's ends were handled and none is held.
func (w *worker) lastKnownEnd() int64 {
	if len(w.unknownEnds) > 0 {
		return w.unknownEnds[0].ended.Sequence - 1
	}
	return w.lastSeenEnd
}

// recordHeldRuns adopts the runs of a round that a worker has, or stops them.
func (p *Planner) recordHeldRuns(now time.Time, w *worker, r *round) {
	for _, x := range slices.Clone(w.runOrder) {
		if t := x.name.Task; !x.sizeUnknown || t.Job != r.job.spec.ID || t.Round != r.index {
			continue
		}
		w.removeRun(x)
		p.adoptOrStop(now, w, ladderflow.ActiveRun{Run: x.name, Percent: x.percent, TailLatency: x.tailLatency, Checkpoint: x.checkpoint})
	}
}
