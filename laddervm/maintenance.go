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
	// waveInterval is the time between two steps of a maintenance wave. Each step lists the
	// machines once, and the platform limits the listings per second of all VMs together.
	waveInterval = 500 * time.Millisecond
	// machineCallTimeout bounds one call to the machine service, which may be slow.
	machineCallTimeout = 2 * time.Second
)

// startWaves starts the maintenance waves that this term has not started yet.
func (t *term) startWaves() {
	t.vm.wavesMu.Lock()
	defer t.vm.wavesMu.Unlock()
	for n, spec := range t.vm.waves {
		if t.loaded && !t.waves[n] && t.vm.settings.MachinesAddress.IsValid() {
			t.waves[n] = true
			go t.runWave(ladderwave.New(t.vm.clock.Now(), spec, t.vm.bounds.Load().MaintenanceTime))
		}
	}
}

// runWave carries out a wave until it is done or the term ends. It first waits for the
// platform's holder lease, the minimum time between an earlier leader's last order for a machine
// and the first one of this leader.
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
			t.log.Warn("listing the machines failed; retrying", "wave", w.Number(), "err", err)
			continue
		}
		now := t.vm.clock.Now()
		w.Observe(now, list)
		if !reported || w.Done() {
			err = t.reportWave(w)
			reported = err == nil
		}
		if err != nil {
			t.log.Warn("storing the wave's state failed; retrying", "wave", w.Number(), "err", err)
			continue
		}
		if w.Done() {
			t.do(func() { t.planner.SetNearMaintenance(nil) })
			return
		}
		t.advanceWave(w, now)
	}
}

// listMachines returns the machines and their states.
func (t *term) listMachines() ([]ladderflow.Machine, error) {
	ctx, cancel := context.WithTimeout(t.ctx, machineCallTimeout)
	defer cancel()
	return t.vm.machines.List(ctx)
}

// advanceWave orders maintenance of the machines that may be taken down now, one at a time.
func (t *term) advanceWave(w *ladderwave.Wave, now time.Time) {
	// Only the lease protects machines from the orders of an outdated leader, so it must
	// certainly be valid.
	for t.confidence() == ladderplan.LeadershipConfirmed {
		machine, worker := "", ""
		t.call(t.ctx, func() {
			var toEmpty []string
			machine, toEmpty = w.Next(now, func(id string) ladderwave.WorkerLoad { return t.planner.WorkerLoad(now, id) })
			ids := map[string]bool{}
			for _, id := range toEmpty {
				ids[id] = true
			}
			t.planner.SetNearMaintenance(ids)
			if worker = w.WorkerOf(machine); worker != "" {
				t.planner.MaintenanceOrdered(now, worker)
			}
		})
		if machine == "" {
			return
		}
		ctx, cancel := context.WithTimeout(t.ctx, machineCallTimeout)
		err := t.vm.machines.StartMaintenance(ctx, t.vm.settings.Name, t.fence, machine, w.Number())
		cancel()
		result := ladderwave.Confirmed
		var refusal platform.MachineRefusal
		switch {
		case errors.As(err, &refusal), errors.Is(err, platform.ErrRefused), errors.Is(err, platform.ErrUnsent):
			result = ladderwave.Refused
		case err != nil:
			result = ladderwave.Unknown
		}
		t.log.Info("maintenance of a machine ordered",
			"wave", w.Number(), "machine", machine, "worker", worker, "result", result, "err", err)
		w.RecordResult(t.vm.clock.Now(), machine, result)
		if result != ladderwave.Confirmed {
			return
		}
	}
}

// reportWave stores how far a wave has come, for the operators.
func (t *term) reportWave(w *ladderwave.Wave) error {
	key, value := platform.FormatWave(w.Number(), w.Done())
	return t.vm.journal.SaveStatus(t.ctx, t.fence, key, value)
}
