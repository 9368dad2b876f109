package laddervm

import (
	"strings"
	"time"

	"lacewingladder/ladderaccess"
	"lacewingladder/ladderflow"
	"lacewingladder/platform"
)

// applyFleet applies a configuration that came from the given source, as that many bytes. It
// returns false if the version is not newer than the current one, which then remains.
func (v *VM) applyFleet(f *ladderflow.FleetConfig, revision int64, source string, size int, decoded time.Duration) bool {
	old := v.fleet.Load()
	if old != nil && old.Version >= f.Version {
		v.log.Warn("configuration is not newer than the current one; ignored",
			"version", f.Version, "revision", revision, "source", source, "current", old.Version)
		return false
	}
	v.fleet.Store(f)
	v.configuredAt.Store(v.clock.Now().UnixNano())
	v.stats.countConfiguration(source, size)
	v.log.Info("configuration applied", "version", f.Version, "revision", revision, "queues", len(f.Queues),
		"source", source, "bytes", size, "decoded", decoded.Round(time.Millisecond))
	if old != nil && old.KeysRequired {
		if teams, keys := ladderaccess.Withdrawn(old, f); keys > 0 {
			v.log.Info("keys withdrawn; calls with them are refused from now on", "version", f.Version, "keys", keys,
				"teams", len(teams), "first", teams[0], "source", source)
		}
	}
	v.leadership.setFleet(f)
	v.registry.signal()
	return true
}

// recordWave records a maintenance wave that the operators ordered, and passes it to the term
// if this VM leads. Items under other keys are ignored.
func (v *VM) recordWave(item platform.Item) {
	if !strings.HasPrefix(item.Key, platform.WavePrefix) {
		return
	}
	spec, err := platform.ParseWave(item)
	if err != nil {
		v.log.Error("maintenance wave cannot be decoded; ignored", "key", item.Key, "err", err)
		return
	}
	v.wavesMu.Lock()
	if _, ok := v.waves[spec.Number]; !ok {
		v.log.Info("maintenance wave ordered", "wave", spec.Number, "machines", len(spec.Machines),
			"within", spec.TimeLimit, "cap", spec.MaxDown)
	}
	v.waves[spec.Number] = spec
	v.wavesMu.Unlock()
	if t := v.leadership.current(); t != nil {
		t.do(t.startWaves)
	}
}
