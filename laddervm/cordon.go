package laddervm

import (
	"errors"
	"time"

	"lacewingladder/ladderjournal"
	"lacewingladder/ladderplan"
)

// cordonInterval is the shortest time between the starts of two writes of cordons.
const cordonInterval = 250 * time.Millisecond

// saveCordons stores the cordons of workers if they have changed.
func (t *term) saveCordons(now time.Time) {
	if !t.loaded || t.resigning || now.Sub(t.cordonsSavedAt) < cordonInterval {
		return
	}
	list, ok := t.planner.NextCordons(now)
	if !ok {
		return
	}
	t.cordonsSavedAt = now
	go func() {
		revision, err := t.cordonWriter.SaveCordons(t.ctx, list)
		t.do(func() { t.cordonsSaved(list, revision, err) })
	}()
}

// cordonsSaved handles the result of storing cordons. After a failure the next plan stores them again.
func (t *term) cordonsSaved(list []ladderplan.Cordon, revision int64, err error) {
	switch {
	case errors.Is(err, ladderjournal.ErrSuperseded):
		t.vm.leadership.endTerm(t, "the store names another leader")
	case err != nil:
		t.log.Warn("storing cordons failed; retrying", "cordons", len(list), "err", err)
		t.planner.CordonsNotStored()
	default:
		t.planner.CordonsStored(list, revision)
	}
}
