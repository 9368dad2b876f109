package laddervm

import (
	"context"
	"strings"
	"time"

	"lacewingladder/platform"
)

// watchOperators follows the operators' configuration and maintenance waves in the store,
// until ctx ends.
func (v *VM) watchOperators(ctx context.Context) {
	apply := func(items []platform.Item) {
		v.applyFleet(items)
		v.recordWaves(items)
	}
	follow(ctx, v, platform.OperatorPrefix, follower{
		reset: func(items []platform.Item, _ int64) { apply(items) }, change: apply,
	})
}

// applyFleet applies the configuration. Versions that are not newer than the current one are
// ignored.
func (v *VM) applyFleet(items []platform.Item) {
	for _, item := range items {
		if item.Key != platform.FleetKey || item.Deleted {
			continue
		}
		began := v.clock.Now()
		f, err := platform.ParseFleet(item.Value)
		if err != nil {
			v.log.Error("configuration cannot be decoded; the current one remains", "revision", item.ModRevision, "err", err)
			continue
		}
		if old := v.fleet.Load(); old != nil && old.Version >= f.Version {
			continue
		}
		v.fleet.Store(f)
		v.configuredAt.Store(v.clock.Now().UnixNano())
		v.log.Info("configuration applied", "version", f.Version, "revision", item.ModRevision, "queues", len(f.Queues),
			"bytes", len(item.Value), "decoded", v.clock.Now().Sub(began).Round(time.Millisecond))
		v.leadership.setFleet(f)
		v.registry.signal()
	}
}

// recordWaves records the maintenance waves that the operators ordered, and passes them to
// the term if this VM leads.
func (v *VM) recordWaves(items []platform.Item) {
	v.wavesMu.Lock()
	for _, item := range items {
		if !strings.HasPrefix(item.Key, platform.WavePrefix) || item.Deleted {
			continue
		}
		spec, err := platform.ParseWave(item)
		if err != nil {
			v.log.Error("maintenance wave cannot be decoded; ignored", "key", item.Key, "err", err)
			continue
		}
		if _, ok := v.waves[spec.Number]; !ok {
			v.log.Info("maintenance wave ordered", "wave", spec.Number, "machines", len(spec.Machines),
				"within", spec.TimeLimit, "cap", spec.MaxDown)
		}
		v.waves[spec.Number] = spec
	}
	v.wavesMu.Unlock()
	if t := v.leadership.current(); t != nil {
		t.do(t.startWaves)
	}
}
