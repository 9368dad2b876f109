package ladderhealth

import "time"

const (
	// suspectAfter is the number of failures in a row that make a worker suspect.
	suspectAfter = 3
	// faultyAfter is the number of workers on which a source must fail in a
	// row to be held bad itself.
	faultyAfter = 3
	// minProbeInterval and lastProbe bound the time between probes.
	minProbeInterval = 2 * time.Second
	maxProbeInterval = time.Minute
	// sourceRetention is how long the failures of a source are remembered.
	sourceRetention = 10 * time.Minute
	// maxSources bounds the number of remembered sources.
	maxSources = 10_000
)

// Detector keeps the record of workers and sources of work. Its zero value knows
// none and suspects none.
type Detector struct {
	workers map[string]*workerRecord
	sources map[string]*sourceRecord
}

// workerRecord is how tasks ended on one worker.
type workerRecord struct {
	consecutiveFailures int
	suspect             bool
	probing             bool
	nextProbe           time.Time
	probeInterval       time.Duration
}

// sourceRecord is where a sourceRecord of work failed since it last succeeded.
type sourceRecord struct {
	failedOn    map[string]bool
	lastFailure time.Time
}

// Allows reports whether a worker may be given a task now. For a suspect it is
// true only when a probe is due.
func (j *Detector) Allows(now time.Time, worker string) bool {
	r, ok := j.workers[worker]
	if !ok || !r.suspect {
		return true
	}
	return !r.probing && !now.Before(r.nextProbe)
}

// Suspect reports whether a worker is held to be failing.
func (j *Detector) Suspect(worker string) bool {
	r, ok := j.workers[worker]
	return ok && r.suspect
}

// FaultySource reports whether a source fails wherever it runs.
func (j *Detector) FaultySource(name string) bool {
	s, ok := j.sources[name]
	return ok && len(s.failedOn) >= faultyAfter
}

// Started records that a task was given to a worker. A suspect's next task is
// its probe.
func (j *Detector) Started(now time.Time, worker string) {
	r, ok := j.workers[worker]
	if !ok || !r.suspect {
		return
	}
	r.probing = true
	r.nextProbe = now.Add(r.probeInterval)
}

// Ended records how a task of a source ended on a worker. It reports whether the
// worker's standing changed.
func (j *Detector) Ended(now time.Time, worker, from string, failed bool) (changed bool) {
	r := j.workerRecord(worker)
	r.probing = false
	if !failed {
		changed = r.suspect
		*r = workerRecord{}
		delete(j.sources, from)
		return changed
	}
	if r.suspect {
		r.probeInterval = min(2*r.probeInterval, maxProbeInterval)
		r.nextProbe = now.Add(r.probeInterval)
		return false
	}
	if j.recordSourceFailure(now, worker, from) {
		return false
	}
	r.consecutiveFailures++
	if r.consecutiveFailures < suspectAfter {
		return false
	}
	r.suspect, r.probeInterval = true, minProbeInterval
	r.nextProbe = now.Add(minProbeInterval)
	return true
}

// EndedWithoutResult records that a started task came to nothing, so that a suspect can be
// probed again.
func (j *Detector) EndedWithoutResult(worker string) {
	if r, ok := j.workers[worker]; ok {
		r.probing = false
	}
}

// recordSourceFailure records a failure of a source and reports whether the source, not the
// worker, is to recordSourceFailure. Failures on suspects do not count against a source.
func (j *Detector) recordSourceFailure(now time.Time, worker, from string) bool {
	if j.sources == nil {
		j.sources = map[string]*sourceRecord{}
	}
	s, ok := j.sources[from]
	if !ok || now.Sub(s.lastFailure) > sourceRetention {
		if len(j.sources) >= maxSources {
			j.evictSources(now)
		}
		s = &sourceRecord{failedOn: map[string]bool{}}
		j.sources[from] = s
	}
	s.failedOn[worker] = true
	s.lastFailure = now
	if len(s.failedOn) < faultyAfter {
		return false
	}
	for w := range s.failedOn {
		j.clearFailures(w)
	}
	return true
}

// clearFailures takes back what a bad source did to a worker's record.
func (j *Detector) clearFailures(worker string) {
	if r, ok := j.workers[worker]; ok && !r.suspect {
		r.consecutiveFailures = 0
	}
}

// evictSources drops the sources that did not fail lately, or all when none is old.
func (j *Detector) evictSources(now time.Time) {
	for name, s := range j.sources {
		if now.Sub(s.lastFailure) > sourceRetention/10 {
			delete(j.sources, name)
		}
	}
	if len(j.sources) >= maxSources {
		clear(j.sources)
	}
}

func (j *Detector) workerRecord(worker string) *workerRecord {
	if j.workers == nil {
		j.workers = map[string]*workerRecord{}
	}
	r, ok := j.workers[worker]
	if !ok {
		r = &workerRecord{}
		j.workers[worker] = r
	}
	return r
}
