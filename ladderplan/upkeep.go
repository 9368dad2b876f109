package ladderplan

import (
	"time"

	"lacewingladder/ladderwave"
)

// goingTime is how long a worker that was ordered down counts as going: by then the
// platform's list shows what became of it.
const goingTime = 5 * time.Second

// SetEmptying names the workers that are to be emptied, and so take no new tasks.
func (p *Planner) SetEmptying(ids map[string]bool) { p.emptying = ids }

// Going takes in that a worker's machine is ordered down now.
func (p *Planner) Going(now time.Time, id string) {
	if w, ok := p.workers[id]; ok {
		w.going = now.Add(goingTime)
	}
}

// Load returns what runs on a worker, and whether a lasting task there must stay:
// as many of its step as may be away are away without it.
func (p *Planner) Load(now time.Time, id string) ladderwave.Load {
	w, ok := p.workers[id]
	if !ok {
		return ladderwave.Load{}
	}
	l := ladderwave.Load{}
	here := map[*step]int{}
	for _, x := range w.order {
		l.Busy += max(1, x.size.Processor)
		if x.task != nil && x.task.step.spec.Lasting && x.task.step.round.job.live() {
			here[x.task.step]++
		}
	}
	for s, n := range here {
		if s.spec.MayMiss > 0 || s.spec.Target > 0 {
			l.Kept = l.Kept || s.away(now, w)+n > s.spec.MayMiss
		}
	}
	return l
}

// away returns how many tasks of a lasting step are not at work on workers that
// stay, not counting those on one worker.
func (s *step) away(now time.Time, but *worker) int {
	n := 0
	for _, t := range s.tasks {
		atWork := false
		for _, x := range t.runs {
			atWork = atWork || x.worker == but ||
				x.phase == live && x.percent >= 100 && now.After(x.worker.going) && !x.worker.failing
		}
		if !atWork {
			n++
		}
	}
	return n
}
