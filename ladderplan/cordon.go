package ladderplan

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// cordonDelay is how long a worker must have accepted no tasks before it is cordoned.
	cordonDelay = 400 * time.Millisecond
	// cordonCheckInterval is the time between two checks which workers to cordon.
	cordonCheckInterval = 100 * time.Millisecond
)

// Cordon bars tasks from starting on a worker until the store no longer holds the cordon. A leader cordons workers
// that accept no tasks. The next leader then knows what may run on such a worker: only tasks of jobs that the
// store held when the worker was cordoned.
type Cordon struct {
	Worker string
	// Revision is the store's revision in which the cordon was first stored. It is zero in a cordon that is being
	// stored, for the revision of that write.
	Revision int64
}

// cordons are the cordons that the store holds or may hold.
type cordons struct {
	// revisions holds, by worker, the revision of [Cordon].
	revisions map[string]int64
	// saving is true while cordons are being stored, and unsaved until this leader has stored those of the last
	// leader, and after a failure.
	saving  bool
	unsaved bool
	// blockedSince holds since when each worker that is not cordoned has accepted no tasks.
	blockedSince map[string]time.Time
	nextCheck    time.Time
}

func newCordons() cordons {
	return cordons{revisions: map[string]int64{}, blockedSince: map[string]time.Time{}}
}

// has reports whether the store may hold a cordon of the worker.
func (c *cordons) has(id string) bool {
	_, ok := c.revisions[id]
	return ok
}

// AddCordon adds a cordon that the last leader has stored. This leader stores it again, since the next one relies
// only on cordons of the leader before it.
func (p *Planner) AddCordon(c Cordon) {
	p.cordons.revisions[c.Worker], p.cordons.unsaved = c.Revision, true
	p.pools.stale = true
}

// NextCordons returns the cordons to store. It returns false if the store holds them, or if none can be stored
// now. The caller must report the outcome before it calls NextCordons again.
func (p *Planner) NextCordons(now time.Time) ([]Cordon, bool) {
	c := &p.cordons
	if c.saving || p.storeServingSince.IsZero() || now.Before(c.nextCheck) {
		return nil, false
	}
	c.nextCheck = now.Add(cordonCheckInterval)
	var list []Cordon
	changed := c.unsaved
	kept := 0
	for _, w := range p.allWorkers() {
		if !w.inRoster && !p.unseenWorkers[w.spec.ID] {
			continue // Nothing starts there, and the next leader does not wait for it.
		}
		revision, has := c.revisions[w.spec.ID]
		if has {
			kept++
		}
		if !p.wantsCordon(now, w, has) {
			changed = changed || has
			continue
		}
		changed = changed || !has
		list = append(list, Cordon{Worker: w.spec.ID, Revision: revision})
	}
	if changed = changed || kept < len(c.revisions); !changed {
		return nil, false
	}
	for _, x := range list {
		if !c.has(x.Worker) {
			c.revisions[x.Worker] = 0
		}
		delete(c.blockedSince, x.Worker)
	}
	c.saving, c.unsaved, p.pools.stale = true, false, true
	return list, true
}

// wantsCordon reports whether a worker is to be cordoned. It adds no cordon before the leases of earlier leaders have
// ended: until then, these leaders may hear of new jobs and start them on the worker.
func (p *Planner) wantsCordon(now time.Time, w *worker, cordoned bool) bool {
	leaves := w.spec.Draining || !w.leavesAt.IsZero()
	blocked := w.unresponsive || !w.seenByLeader || !w.listed || leaves || now.Sub(w.polledAt) >= unresponsiveAfter
	since, known := p.cordons.blockedSince[w.spec.ID]
	switch {
	case !blocked:
		delete(p.cordons.blockedSince, w.spec.ID)
		return false
	case cordoned:
		return true
	case !known:
		since = now
		p.cordons.blockedSince[w.spec.ID] = now
	}
	return now.After(p.options.EarlierLeaseEnd) && (leaves || now.Sub(since) >= cordonDelay)
}

// CordonsStored records that the cordons of NextCordons were stored in a revision.
func (p *Planner) CordonsStored(list []Cordon, revision int64) {
	stored := make(map[string]int64, len(list))
	for _, x := range list {
		if stored[x.Worker] = x.Revision; x.Revision == 0 {
			stored[x.Worker] = revision
			p.log.Info("worker cordoned", "worker", x.Worker, "revision", revision)
		}
	}
	for id := range p.cordons.revisions {
		if _, ok := stored[id]; !ok {
			p.log.Info("worker is no longer cordoned", "worker", id, "revision", revision)
		}
	}
	p.cordons.revisions, p.cordons.saving = stored, false
	p.pools.stale, p.placementDue = true, true
}

// CordonsNotStored records that the cordons of NextCordons may not have been stored. All workers that the store may
// hold cordons of stay cordoned.
func (p *Planner) CordonsNotStored() { p.cordons.saving, p.cordons.unsaved = false, true }

// Cordons returns the cordons that the store holds or may hold, sorted by worker.
func (p *Planner) Cordons() []Cordon {
	list := make([]Cordon, 0, len(p.cordons.revisions))
	for id, revision := range p.cordons.revisions {
		list = append(list, Cordon{id, revision})
	}
	slices.SortFunc(list, func(a, b Cordon) int { return strings.Compare(a.Worker, b.Worker) })
	return list
}

// mayRunUnseen reports whether an earlier leader may have started tasks of a job on a worker that has not answered
// this leader yet.
func (p *Planner) mayRunUnseen(j *job) bool {
	return !p.earlierRunsKnown && j.knownToEarlierLeader && (j.spec.Revision == 0 || j.spec.Revision <= p.unseenRevision)
}

// refreshUnseenRevision determines the store's revision after which no job can have been stored of which a task
// runs on a worker that has not answered this leader yet.
func (p *Planner) refreshUnseenRevision(now time.Time) {
	before := p.unseenRevision
	p.unseenRevision = 0
	if p.earlierRunsKnown {
		return
	}
	for id := range p.unseenWorkers {
		revision, ok := p.cordons.revisions[id]
		if !ok || revision == 0 {
			p.unseenRevision = math.MaxInt64
			return
		}
		p.unseenRevision = max(p.unseenRevision, revision)
	}
	if before != p.unseenRevision {
		p.log.Info("only jobs stored before a revision wait for workers that have not answered", "revision", p.unseenRevision,
			"unseen", len(p.unseenWorkers), "after", now.Sub(p.options.ElectedAt).Round(time.Millisecond))
	}
}
