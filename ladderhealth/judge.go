package ladderhealth

import "time"

const (
	// suspectAfter is the number of failures in a row that make a worker suspect.
	suspectAfter = 3
	// poisonousAfter is the number of workers on which a source must fail in a
	// row to be held bad itself.
	poisonousAfter = 3
	// firstProbe and lastProbe bound the time between probes.
	firstProbe = 2 * time.Second
	lastProbe  = time.Minute
	// sourceMemory is how long the failures of a source are remembered.
	sourceMemory = 10 * time.Minute
	// maxSources bounds the number of remembered sources.
	maxSources = 10_000
)

// Judge keeps the record of workers and sources of work. Its zero value knows
// none and suspects none.
type Judge struct {
	workers map[string]*record
	sources map[string]*source
}

// record is how tasks ended on one worker.
type record struct {
	row     int
	suspect bool
	probing bool
	probe   time.Time
	wait    time.Duration
}

// source is where a source of work failed since it last succeeded.
type source struct {
	failedOn map[string]bool
	last     time.Time
}

// Allows reports whether a worker may be given a task now. For a suspect it is
// true only when a probe is due.
func (j *Judge) Allows(now time.Time, worker string) bool {
	r, ok := j.workers[worker]
	if !ok || !r.suspect {
		return true
	}
	return !r.probing && !now.Before(r.probe)
}

// Suspect reports whether a worker is held to be failing.
func (j *Judge) Suspect(worker string) bool {
	r, ok := j.workers[worker]
	return ok && r.suspect
}

// Poisonous reports whether a source fails wherever it runs.
func (j *Judge) Poisonous(name string) bool {
	s, ok := j.sources[name]
	return ok && len(s.failedOn) >= poisonousAfter
}

// Started records that a task was given to a worker. A suspect's next task is
// its probe.
func (j *Judge) Started(now time.Time, worker string) {
	r, ok := j.workers[worker]
	if !ok || !r.suspect {
		return
	}
	r.probing = true
	r.probe = now.Add(r.wait)
}

// Ended records how a task of a source ended on a worker. It reports whether the
// worker's standing changed.
func (j *Judge) Ended(now time.Time, worker, from string, failed bool) (changed bool) {
	r := j.record(worker)
	r.probing = false
	if !failed {
		changed = r.suspect
		*r = record{}
		delete(j.sources, from)
		return changed
	}
	if r.suspect {
		r.wait = min(2*r.wait, lastProbe)
		r.probe = now.Add(r.wait)
		return false
	}
	if j.blame(now, worker, from) {
		return false
	}
	r.row++
	if r.row < suspectAfter {
		return false
	}
	r.suspect, r.wait = true, firstProbe
	r.probe = now.Add(firstProbe)
	return true
}

// Abandon records that a started task came to nothing, so that a suspect can be
// probed again.
func (j *Judge) Abandon(worker string) {
	if r, ok := j.workers[worker]; ok {
		r.probing = false
	}
}

// blame records a failure of a source and reports whether the source, not the
// worker, is to blame. Failures on suspects do not count against a source.
func (j *Judge) blame(now time.Time, worker, from string) bool {
	if j.sources == nil {
		j.sources = map[string]*source{}
	}
	s, ok := j.sources[from]
	if !ok || now.Sub(s.last) > sourceMemory {
		if len(j.sources) >= maxSources {
			j.forget(now)
		}
		s = &source{failedOn: map[string]bool{}}
		j.sources[from] = s
	}
	s.failedOn[worker] = true
	s.last = now
	if len(s.failedOn) < poisonousAfter {
		return false
	}
	for w := range s.failedOn {
		j.pardon(w)
	}
	return true
}

// pardon takes back what a bad source did to a worker's record.
func (j *Judge) pardon(worker string) {
	if r, ok := j.workers[worker]; ok && !r.suspect {
		r.row = 0
	}
}

// forget drops the sources that did not fail lately, or all when none is old.
func (j *Judge) forget(now time.Time) {
	for name, s := range j.sources {
		if now.Sub(s.last) > sourceMemory/10 {
			delete(j.sources, name)
		}
	}
	if len(j.sources) >= maxSources {
		clear(j.sources)
	}
}

func (j *Judge) record(worker string) *record {
	if j.workers == nil {
		j.workers = map[string]*record{}
	}
	r, ok := j.workers[worker]
	if !ok {
		r = &record{}
		j.workers[worker] = r
	}
	return r
}
