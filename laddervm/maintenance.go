package laddervm

import (
	"context"
	"errors"
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderplan"
	"lacewingladder/ladderwave"
	"lacewingladder/platform"
)

const (
	// upkeepTime is the time between two steps of a wave: each reads the list of
	// machines once, of which the platform allows some a second for all VMs.
	waveInterval = 500 * time.Millisecond
	// machineTime bounds one call to the machines' service, which may be slow.
	machineCallTimeout = 2 * time.Second
)

// beginWaves begins the waves that are new to this term.
func (t *term) startWaves() {
	t.vm.wavesMu.Lock()
	defer t.vm.wavesMu.Unlock()
	for n, spec := range t.vm.waves {
		if t.loaded && !t.waves[n] && t.vm.settings.Machines.IsValid() {
			t.waves[n] = true
			go t.runWave(ladderwave.New(t.vm.clock.Now(), spec, t.vm.bounds.Load().Upkeep))
		}
	}
}

// runWave carries a wave out until it is done or the term is over. An earlier
// leader's orders must be over first.
func (t *term) runWave(w *ladderwave.Wave) {
	wait := t.vm.bounds.Load().HolderLease
	reported := false
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.vm.clock.After(wait):
		}
		wait = waveInterval
		list, err := t.listMachines()
		if err != nil {
			t.log.Warn("machines are not listed", "wave", w.Number(), "err", err)
			continue
		}
		now := t.vm.clock.Now()
		w.Seen(now, list)
		if !reported || w.Done() {
			err = t.reportWave(w)
			reported = err == nil
		}
		if err != nil {
			t.log.Warn("wave's state is not stored", "wave", w.Number(), "err", err)
			continue
		}
		if w.Done() {
			t.do(func() { t.planner.SetEmptying(nil) })
			return
		}
		t.advanceWave(w, now)
	}
}

func (t *term) listMachines() ([]ladderflow.Machine, error) {
	ctx, cancel := context.WithTimeout(t.ctx, machineCallTimeout)
	defer cancel()
	return t.vm.machines.List(ctx)
}

// stepWave orders down what may go now, one machine after the other.
func (t *term) advanceWave(w *ladderwave.Wave, now time.Time) {
	// Nothing guards machines but the lease, so it must certainly stand.
	for t.confidence() == ladderplan.Sure {
		down, worker := "", ""
		t.call(t.ctx, func() {
			var empty []string
			down, empty = w.Next(now, func(id string) ladderwave.Load { return t.planner.Load(now, id) })
			ids := map[string]bool{}
			for _, id := range empty {
				ids[id] = true
			}
			t.planner.SetEmptying(ids)
			if worker = w.Worker(down); worker != "" {
				t.planner.Going(now, worker)
			}
		})
		if down == "" {
			return
		}
		ctx, cancel := context.WithTimeout(t.ctx, machineCallTimeout)
		err := t.vm.machines.Upkeep(ctx, t.vm.settings.Name, t.fence, down, w.Number())
		cancel()
		answer := ladderwave.Confirmed
		var refusal platform.MachineRefusal
		switch {
		case errors.As(err, &refusal), errors.Is(err, platform.ErrRefused), errors.Is(err, platform.ErrUnsent):
			answer = ladderwave.Refused
		case err != nil:
			answer = ladderwave.Unknown
		}
		t.log.Info("machine is ordered down", "wave", w.Number(), "machine", down, "worker", worker, "answer", answer, "err", err)
		w.Ordered(t.vm.clock.Now(), down, answer)
		if answer != ladderwave.Confirmed {
			return
		}
	}
}

// reportWave tells the operators how far a wave is.
func (t *term) reportWave(w *ladderwave.Wave) error {
	key, value := platform.FormatWave(w.Number(), w.Done())
	return t.vm.journal.Report(t.ctx, t.fence, key, value)
}
