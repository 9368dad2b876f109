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
	// saveGap is the least time between two transactions of the leader: at most 17
	// a second, whatever the load.
	saveInterval = 60 * time.Millisecond
	// saveRetry is the time to the next try after one that failed.
	saveRetryInterval = 80 * time.Millisecond
)

// saver stores what the planner changed, one batch after the other.
type saver struct {
	busy bool
	last time.Time
	// lost is since when batches fail, or zero.
	failingSince time.Time
	// seen is when the first end came that no batch holds yet, and taken when the first
	// came of those in the batch under way; they are zero for none.
	pendingSince time.Time
	batchSince   time.Time
}

// sees takes in that ends have come.
func (s *saver) endsReported(now time.Time, ends int) {
	if ends > 0 && s.pendingSince.IsZero() {
		s.pendingSince = now
	}
}

func (s *saver) idle() bool { return !s.busy }

// save stores what has changed, unless a batch is under way.
func (t *term) save() {
	now := t.vm.clock.Now()
	if t.saver.busy || !t.loaded {
		return
	}
	if wait := t.saver.last.Add(saveInterval).Sub(now); wait > 0 {
		t.saver.busy = true
		time.AfterFunc(wait, func() { t.do(func() { t.saver.busy = false; t.save() }) })
		return
	}
	b := t.planner.Unsaved()
	b.Forget = t.planner.Retired(now, ladderjournal.MaxForgotten)
	if b.Empty() {
		return
	}
	t.saver.busy, t.saver.last = true, now
	if t.saver.batchSince.IsZero() {
		t.saver.batchSince = t.saver.pendingSince
	}
	t.saver.pendingSince = time.Time{}
	go func() {
		err := t.commit(b)
		t.do(func() { t.saved(b, err) })
	}()
}

// commit stores a batch in as many transactions as it takes.
func (t *term) commit(b *ladderplan.Batch) error {
	began := t.vm.clock.Now()
	for rest := b.Records; len(rest) > 0; {
		n := min(len(rest), ladderjournal.MaxRecords)
		if err := t.progress.Commit(t.ctx, rest[:n]); err != nil {
			return err
		}
		rest = rest[n:]
	}
	if len(b.Forget) > 0 {
		if err := t.progress.Forget(t.ctx, b.Forget); err != nil {
			return err
		}
	}
	t.vm.stats.commitTime.UpdateDuration(began)
	return nil
}

// saved takes in what became of a batch.
func (t *term) saved(b *ladderplan.Batch, err error) {
	t.saver.busy = false
	switch {
	case errors.Is(err, ladderjournal.ErrDeposed):
		t.vm.leadership.endTerm(t, "the store names another leader")
		return
	case err != nil:
		if t.saver.failingSince.IsZero() {
			t.saver.failingSince = t.vm.clock.Now()
			t.log.Warn("progress is not stored", "records", len(b.Records), "err", err)
		}
		t.planner.NotSaved(b)
		t.saver.busy = true
		time.AfterFunc(saveRetryInterval, func() { t.do(func() { t.saver.busy = false; t.save() }) })
		return
	}
	if !t.saver.failingSince.IsZero() {
		t.log.Info("progress is stored again", "records", len(b.Records),
			"after", t.vm.clock.Now().Sub(t.saver.failingSince).Round(time.Millisecond))
		t.saver.failingSince = time.Time{}
	}
	t.planner.Saved(b)
	if !t.saver.batchSince.IsZero() {
		t.vm.stats.endAcknowledged.UpdateDuration(t.saver.batchSince)
		t.saver.batchSince = time.Time{}
	}
	for _, d := range t.pollers {
		if d.delegate != nil {
			d.delegate.acknowledgeEnds(d.worker.ID)
			continue
		}
		t.resumePoll(d.ctx, d)
	}
	t.flush()
	t.save()
}

// settle stores what has changed and waits for it, before the lead is given up.
func (t *term) saveFinal(ctx context.Context) {
	var b *ladderplan.Batch
	for b == nil {
		ok := t.call(ctx, func() {
			if t.loaded && !t.saver.busy {
				t.saver.busy = true
				b = t.planner.Unsaved()
			}
		})
		if !ok {
			return
		}
		if b == nil {
			<-t.vm.clock.After(saveFinalInterval)
		}
	}
	if b.Empty() {
		return
	}
	if err := t.commit(b); err != nil {
		t.log.Warn("progress is left to the next leader", "err", err)
	}
}

// settleTime is the time between looks at whether the last batch is stored.
const saveFinalInterval = 10 * time.Millisecond

// saveRoster stores which workers are in use. The planner starts nothing on a worker
// that the stored list does not name.
func (t *term) saveRoster() {
	if t.savingRoster {
		return
	}
	list := t.planner.Workers()
	t.savingRoster = true
	go func() {
		err := t.rosterProgress.SaveRoster(t.ctx, list)
		t.do(func() { t.rosterSaved(list, err) })
	}()
}

func (t *term) rosterSaved(list []ladderflow.Worker, err error) {
	t.savingRoster = false
	if errors.Is(err, ladderjournal.ErrDeposed) {
		t.vm.leadership.endTerm(t, "the store names another leader")
		return
	}
	if err != nil {
		t.log.Warn("list of workers in use is not stored", "err", err)
		time.AfterFunc(saveRetryInterval, func() { t.do(t.saveRoster) })
		return
	}
	t.roster = map[string]bool{}
	for _, w := range list {
		t.roster[w.ID] = true
	}
	t.planner.SetRoster(t.roster)
	for id := range t.pollers {
		if !t.roster[id] {
			t.saveRoster()
			return
		}
	}
}

// readWorkers reads the workers that the store lists.
func (t *term) readWorkers() ([]ladderflow.Worker, error) {
	var list []ladderflow.Worker
	_, err := readAll(t.ctx, t.vm, platform.WorkerPrefix, func(items []platform.Item, _ int64) {
		list = t.parseWorkers(items, map[string]ladderflow.Worker{})
	})
	return list, err
}

// parseWorkers puts what items say into a list by id, and returns the list.
func (t *term) parseWorkers(items []platform.Item, byID map[string]ladderflow.Worker) []ladderflow.Worker {
	for _, item := range items {
		if item.Deleted {
			delete(byID, item.Key)
			continue
		}
		w, err := platform.ParseWorker(item)
		if err != nil {
			t.log.Warn("worker's entry is passed over", "err", err)
			delete(byID, item.Key)
			continue
		}
		byID[item.Key] = w
	}
	list := make([]ladderflow.Worker, 0, len(byID))
	for _, w := range byID {
		list = append(list, w)
	}
	return list
}

// workersTime is the time between two watches of the workers' entries, which change
// with each heartbeat. A worker that leaves must get no task after 2.5 s.
const workerWatchPause = 500 * time.Millisecond

// workerFollower keeps the list of workers as the store has it.
func (t *term) workerFollower() follower {
	byID := map[string]ladderflow.Worker{}
	return follower{
		pause: workerWatchPause,
		reset: func(items []platform.Item, _ int64) {
			clear(byID)
			list := t.parseWorkers(items, byID)
			t.do(func() { t.setWorkers(list) })
		},
		change: func(items []platform.Item) {
			list := t.parseWorkers(items, byID)
			t.do(func() { t.setWorkers(list) })
		},
	}
}
