package laddervm

import (
	"context"
	"errors"
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderjournal"
	"lacewingladder/ladderplan"
	"lacewingladder/platform"
)

const (
	// saveInterval is the shortest time between the starts of two batches: at most 17 batches a
	// second, whatever the load.
	saveInterval = 60 * time.Millisecond
	// saveRetryInterval is the time before a failed transaction is repeated.
	saveRetryInterval = 80 * time.Millisecond
)

// saver stores what the planner has changed, one batch at a time.
type saver struct {
	// busy is true while a batch is being stored or is scheduled, scheduled while it is not begun yet, and
	// lastStart is when the last one was begun. Once finalDue is true, no batch is begun except the final one.
	busy      bool
	scheduled bool
	finalDue  bool
	lastStart time.Time
	// failingSince is when storing began to fail, or zero.
	failingSince time.Time
	// pendingSince is when the oldest end of a run that is in no batch yet was reported, and
	// batchSince the same for the ends in the current batch; zero means that there is none.
	pendingSince time.Time
	batchSince   time.Time
}

// endsReported records that a worker has reported ends of runs.
func (s *saver) endsReported(now time.Time, ends int) {
	if ends > 0 && s.pendingSince.IsZero() {
		s.pendingSince = now
	}
}

// idle reports whether no batch is being stored or scheduled.
func (s *saver) idle() bool { return !s.busy }

// save stores what has changed, unless a batch is already being stored or scheduled.
func (t *term) save() {
	now := t.vm.clock.Now()
	if t.saver.busy || t.saver.finalDue || !t.loaded {
		return
	}
	if wait := t.saver.lastStart.Add(saveInterval).Sub(now); wait > 0 {
		t.scheduleSave(wait)
		return
	}
	b := t.planner.NextBatch()
	b.JobsToDelete = t.planner.ExpiredJobs(now, ladderjournal.MaxDeletedJobs)
	b.CancellationsToDelete = t.planner.ExpiredCancellations(now, ladderjournal.MaxDeletedCancellations)
	if b.Empty() {
		return
	}
	t.saver.busy, t.saver.lastStart = true, now
	if t.saver.batchSince.IsZero() {
		t.saver.batchSince = t.saver.pendingSince
	}
	t.saver.pendingSince = time.Time{}
	go func() {
		missing, err := t.commit(t.ctx, b)
		t.do(func() { t.batchSaved(b, missing, err) })
	}()
}

// scheduleSave stores what has changed after the given time.
func (t *term) scheduleSave(wait time.Duration) {
	t.saver.busy, t.saver.scheduled = true, true
	time.AfterFunc(wait, func() {
		t.do(func() {
			if t.saver.scheduled {
				t.saver.busy, t.saver.scheduled = false, false
				t.save()
			}
		})
	})
}

// commit stores a batch in as many transactions as it needs, several at a time. After an error, it returns the records
// that may not be stored.
func (t *term) commit(ctx context.Context, b *ladderplan.Batch) (missing []ladderplan.Record, err error) {
	began := t.vm.clock.Now()
	if missing, err := t.recordWriter.Commit(ctx, b.Records, ladderjournal.MaxRecords); err != nil {
		return missing, err
	}
	if len(b.JobsToDelete) > 0 {
		if err := t.recordWriter.DeleteJobs(ctx, b.JobsToDelete); err != nil {
			return nil, err
		}
	}
	if len(b.CancellationsToDelete) > 0 {
		deleted, err := t.recordWriter.DeleteCancellations(ctx, b.CancellationsToDelete)
		if err != nil {
			return nil, err
		}
		t.log.Info("expired cancellations of unknown jobs deleted", "expired", len(b.CancellationsToDelete), "deleted", len(deleted))
		b.CancellationsToDelete = deleted
	}
	t.vm.stats.commitTime.UpdateDuration(began)
	return nil, nil
}

// batchSaved handles the result of storing a batch. Missing holds the records that may not be stored.
func (t *term) batchSaved(b *ladderplan.Batch, missing []ladderplan.Record, err error) {
	t.saver.busy = false
	switch {
	case errors.Is(err, ladderjournal.ErrSuperseded):
		t.vm.leadership.endTerm(t, "the store names another leader")
		return
	case err != nil:
		if t.saver.failingSince.IsZero() {
			t.saver.failingSince = t.vm.clock.Now()
			t.log.Warn("storing progress failed; retrying", "records", len(b.Records), "missing", len(missing), "err", err)
		}
		t.planner.BatchNotStored(b, missing)
		if !t.saver.finalDue {
			t.scheduleSave(saveRetryInterval)
		}
		return
	}
	if !t.saver.failingSince.IsZero() {
		t.log.Info("progress is stored again", "records", len(b.Records),
			"after", t.vm.clock.Now().Sub(t.saver.failingSince).Round(time.Millisecond))
		t.saver.failingSince = time.Time{}
	}
	t.planner.BatchStored(b)
	if !t.saver.batchSince.IsZero() {
		t.vm.stats.endAcknowledged.UpdateDuration(t.saver.batchSince)
		t.saver.batchSince = time.Time{}
	}
	for _, p := range t.pollers {
		if p.delegate != nil {
			if b.CoversEnds(p.worker.ID) {
				p.delegate.acknowledgeEnds(p.worker.ID)
			}
			continue
		}
		t.resumePoll(p.ctx, p)
	}
	t.flush()
	t.save()
}

// saveRoster stores the roster, the set of workers on which a leader may start tasks. The
// planner starts nothing on workers outside the stored roster. While a roster is being stored or
// its outcome is unknown, that holds for each roster that the store may have.
func (t *term) saveRoster() {
	if t.savingRoster {
		return
	}
	var list []ladderflow.Worker
	for _, w := range t.planner.Workers() {
		if t.planner.InRoster(w.ID) {
			if t.hasTeams() {
				w.Capacity = t.planner.LargestCapacity(w.ID)
			}
			list = append(list, w)
		}
	}
	t.savingRoster = true
	both := map[string]bool{}
	for _, w := range list {
		if t.roster[w.ID] {
			both[w.ID] = true
		}
	}
	t.roster = both
	t.planner.SetRoster(t.startable())
	terms := t.terms()
	go func() {
		err := t.rosterWriter.SaveRoster(t.ctx, list, terms)
		t.do(func() { t.rosterSaved(list, err) })
	}()
}

// rosterSaved handles the result of storing the roster. It stores the roster again if there
// are new workers.
func (t *term) rosterSaved(list []ladderflow.Worker, err error) {
	t.savingRoster = false
	if errors.Is(err, ladderjournal.ErrSuperseded) {
		t.vm.leadership.endTerm(t, "the store names another leader")
		return
	}
	if err != nil {
		t.log.Warn("storing the roster failed; retrying", "err", err)
		time.AfterFunc(saveRetryInterval, func() { t.do(t.saveRoster) })
		return
	}
	t.roster, t.rosterSizes = map[string]bool{}, map[string]ladderflow.Size{}
	for _, w := range list {
		t.roster[w.ID], t.rosterSizes[w.ID] = true, w.Capacity
	}
	t.planner.SetRoster(t.startable())
	for id := range t.pollers {
		if t.planner.InRoster(id) != t.roster[id] || t.outgrown(id) {
			t.saveRoster()
			return
		}
	}
}

// outgrown reports whether a worker of the roster has more capacity than the stored roster ever had of it. The next
// leader would assume too little of what may run there.
func (t *term) outgrown(id string) bool {
	return t.hasTeams() && t.roster[id] && !t.planner.LargestCapacity(id).Fits(t.rosterSizes[id])
}

// hasTeams reports whether the configuration has teams, whose quotas must hold.
func (t *term) hasTeams() bool {
	f := t.vm.fleet.Load()
	return f != nil && len(f.Teams) > 0
}

// startable returns the workers of the roster on which tasks may start.
func (t *term) startable() map[string]bool {
	ids := map[string]bool{}
	for id := range t.roster {
		if !t.outgrown(id) {
			ids[id] = true
		}
	}
	return ids
}

// readWorkers reads the workers that are listed in the store.
func (t *term) readWorkers() ([]ladderflow.Worker, error) {
	var items []platform.Item
	_, err := platform.ReadAll(t.ctx, t.vm.store, platform.WorkerPrefix, func(item platform.Item) { items = append(items, item) })
	if err != nil {
		return nil, err
	}
	return t.parseWorkers(items, map[string]ladderflow.Worker{}), nil
}

// parseWorkers applies items to the workers by key, and returns the workers as a list.
func (t *term) parseWorkers(items []platform.Item, byKey map[string]ladderflow.Worker) []ladderflow.Worker {
	for _, item := range items {
		if item.Deleted {
			delete(byKey, item.Key)
			continue
		}
		w, err := platform.ParseWorker(item)
		if err != nil {
			t.log.Warn("worker's entry cannot be decoded; worker ignored", "err", err)
			delete(byKey, item.Key)
			continue
		}
		byKey[item.Key] = w
	}
	list := make([]ladderflow.Worker, 0, len(byKey))
	for _, w := range byKey {
		list = append(list, w)
	}
	return list
}

// workerWatchPause is the pause between two watch calls for the workers' entries, which
// change with each heartbeat. It is short because no task may start on a leaving worker after
// 2.5 s.
const workerWatchPause = 500 * time.Millisecond

// workerFollower returns a follower that keeps the list of workers current.
func (t *term) workerFollower() follower {
	byKey := map[string]ladderflow.Worker{}
	var writes entryWrites
	return follower{
		pause: workerWatchPause,
		reset: func(items []platform.Item, _ int64) {
			clear(byKey)
			writes = entryWrites{}
			list := t.parseWorkers(items, byKey)
			t.do(func() { t.setWorkers(list) })
		},
		change: func(items []platform.Item) {
			left := writes.deletedByWorker(items, t.vm.clock.Now(), t.vm.settings.EntryTTL)
			list := t.parseWorkers(items, byKey)
			t.do(func() {
				for id, since := range left {
					t.planner.WorkerLeft(t.vm.clock.Now(), id, since)
				}
				t.setWorkers(list)
			})
		},
		complete: func(began time.Time) { writes.seenUntil = began },
	}
}
