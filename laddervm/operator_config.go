package laddervm

import (
	"context"
	"strings"

	"lacewingladder/platform"
)

// watchOperators follows what the operators write, until ctx ends.
func (v *VM) watchOperators(ctx context.Context) {
	take := func(items []platform.Item) {
		v.applyFleet(items)
		v.recordWaves(items)
	}
	follow(ctx, v, platform.OperatorPrefix, follower{
		reset: func(items []platform.Item, _ int64) { take(items) }, change: take,
	})
}

// takeFleet puts the configuration in force. A version that is older than the one in
// force is never taken.
func (v *VM) applyFleet(items []platform.Item) {
	for _, item := range items {
		if item.Key != platform.FleetKey || item.Deleted {
			continue
		}
		f, err := platform.ParseFleet(item.Value)
		if err != nil {
			v.log.Error("configuration can not be read", "revision", item.Changed, "err", err)
			continue
		}
		if old := v.fleet.Load(); old != nil && old.Version >= f.Version {
			continue
		}
		v.fleet.Store(f)
		v.configuredAt.Store(v.clock.Now().UnixNano())
		v.log.Info("configuration is in force", "version", f.Version, "revision", item.Changed, "queues", len(f.Queues))
		v.leadership.setFleet(f)
		v.registry.signal()
	}
}

// takeWaves remembers the waves that the operators ask for, and hands them to the
// term, if this VM leads.
func (v *VM) recordWaves(items []platform.Item) {
	v.wavesMu.Lock()
	for _, item := range items {
		if !strings.HasPrefix(item.Key, platform.WavePrefix) || item.Deleted {
			continue
		}
		spec, err := platform.ParseWave(item)
		if err != nil {
			v.log.Error("wave can not be read", "key", item.Key, "err", err)
			continue
		}
		if _, ok := v.waves[spec.Number]; !ok {
			v.log.Info("wave is asked for", "wave", spec.Number, "machines", len(spec.Machines),
				"within", spec.Within, "cap", spec.AtOnce)
		}
		v.waves[spec.Number] = spec
	}
	v.wavesMu.Unlock()
	if t := v.leadership.current(); t != nil {
		t.do(t.startWaves)
	}
}
