package ladderhealth

import "time"

const (
	// suspectAfter is the number of consecutive failures after which a worker is
	// suspect.
	suspectAfter = 3
	// faultyAfter is the number of workers on which a source must fail, without a
	// success in between, to be faulty itself.
	faultyAfter = 3
	// minProbeInterval and maxProbeInterval bound the time between probes of a
	// suspect worker.
	minProbeInterval = 2 * time.Second
	maxProbeInterval = time.Minute
	// sourceRetention is how long the failures of a source are remembered.
	sourceRetention = 10 * time.Minute
	// maxSources bounds the number of remembered sources.
	maxSources = 10_000
)

// Detector records the failures of workers and of sources of work. The zero
// value is ready to use and suspects no worker.
type Detector struct {
	workers map[string]*workerRecord
	sources map[string]*sourceRecord
}

// workerRecord is the recent history of one worker.
type workerRecord struct {
	consecutiveFailures int
	suspect             bool
	// probing is true while a probe runs on the suspect worker.
	probing bool
	// nextProbe is the earliest time of the next probe.
	nextProbe     time.Time
	probeInterval time.Duration
}

// sourceRecord lists the workers on which a source failed since it last
// succeeded.
type sourceRecord struct {
	failedOn    map[string]bool
	lastFailure time.Time
}

// Allows reports whether a worker may be given a task now. For a suspect worker
// it is true only if a probe is due.
func (d *Detector) Allows(now time.Time, worker string) bool {
	r, ok := d.workers[worker]
	if !ok || !r.suspect {
		return true
	}
	return !r.probing && !now.Before(r.nextProbe)
}

// Suspect reports whether a worker is suspected of failing the tasks that it
// runs.
func (d *Detector) Suspect(worker string) bool {
	r, ok := d.workers[worker]
	return ok && r.suspect
}

// FaultySource reports whether a source failed on so many workers that its
// failures do not count against them.
func (d *Detector) FaultySource(name string) bool {
	s, ok := d.sources[name]
	return ok && len(s.failedOn) >= faultyAfter
}

// Started records that a task was started on a worker. The next task that is
// started on a suspect worker is its probe.
func (d *Detector) Started(now time.Time, worker string) {
	r, ok := d.workers[worker]
	if !ok || !r.suspect {
		return
	}
	r.probing = true
	r.nextProbe = now.Add(r.probeInterval)
}

// Ended records whether a task of the source failed on a worker. It reports
// whether the worker became suspect or ceased to be.
func (d *Detector) Ended(now time.Time, worker, sourceName string, failed bool) (changed bool) {
	r := d.workerRecord(worker)
	r.probing = false
	if !failed {
		changed = r.suspect
		*r = workerRecord{}
		delete(d.sources, sourceName)
		return changed
	}
	if r.suspect {
		r.probeInterval = min(2*r.probeInterval, maxProbeInterval)
		r.nextProbe = now.Add(r.probeInterval)
		return false
	}
	if d.recordSourceFailure(now, worker, sourceName) {
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

// EndedWithoutResult records that a started task did not run or that its result
// is unknown, so that a suspect worker may be probed again.
func (d *Detector) EndedWithoutResult(worker string) {
	if r, ok := d.workers[worker]; ok {
		r.probing = false
	}
}

// recordSourceFailure records a failure of a source and reports whether the
// source, rather than the worker, is at fault. It must not be called for suspect
// workers: their failures do not count against a source.
func (d *Detector) recordSourceFailure(now time.Time, worker, sourceName string) bool {
	if d.sources == nil {
		d.sources = map[string]*sourceRecord{}
	}
	s, ok := d.sources[sourceName]
	if !ok || now.Sub(s.lastFailure) > sourceRetention {
		if len(d.sources) >= maxSources {
			d.evictSources(now)
		}
		s = &sourceRecord{failedOn: map[string]bool{}}
		d.sources[sourceName] = s
	}
	s.failedOn[worker] = true
	s.lastFailure = now
	if len(s.failedOn) < faultyAfter {
		return false
	}
	for w := range s.failedOn {
		d.clearFailures(w)
	}
	return true
}

// clearFailures resets the consecutive failures of a worker on which a faulty
// source failed. A worker that is already suspect remains so.
func (d *Detector) clearFailures(worker string) {
	if r, ok := d.workers[worker]; ok && !r.suspect {
		r.consecutiveFailures = 0
	}
}

// evictSources drops the sources whose last failure is older than a tenth of the
// retention time. If there are still too many, it drops all sources.
func (d *Detector) evictSources(now time.Time) {
	for name, s := range d.sources {
		if now.Sub(s.lastFailure) > sourceRetention/10 {
			delete(d.sources, name)
		}
	}
	if len(d.sources) >= maxSources {
		clear(d.sources)
	}
}

// workerRecord returns the record of a worker and creates it if necessary.
func (d *Detector) workerRecord(worker string) *workerRecord {
	if d.workers == nil {
		d.workers = map[string]*workerRecord{}
	}
	r, ok := d.workers[worker]
	if !ok {
		r = &workerRecord{}
		d.workers[worker] = r
	}
	return r
}
