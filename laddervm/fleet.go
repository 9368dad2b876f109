package laddervm

import (
	"context"

	"lacewingladder/platform"
)

// watchFleet follows the operators' configuration until ctx ends. A version that is
// older than the one in force is never taken.
func (v *VM) watchFleet(ctx context.Context) {
	follow(ctx, v, platform.FleetPrefix, follower{
		reset:  func(items []platform.Item, _ int64) { v.takeFleet(items) },
		change: v.takeFleet,
	})
}

func (v *VM) takeFleet(items []platform.Item) {
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
		v.log.Info("configuration is in force", "version", f.Version, "revision", item.Changed, "queues", len(f.Queues))
		v.lead.setFleet(f)
		v.registry.signal()
	}
}
