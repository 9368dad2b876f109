package ladderflow

import "slices"

// FleetDelta is the difference between two versions of the configuration. Applied to an empty
// configuration, it is a whole version.
type FleetDelta struct {
	// Version is the version that results.
	Version int64
	// Removed names the queues that the new version does not have, and Changed holds those
	// that are new or differ.
	Removed []string
	Changed []Queue
	// Services and Limits are those of the new version.
	Services map[string]Service
	Limits   Limits
	// KeysRequired is that of the new version. Teams holds its teams, unless KeepsTeams is true: then
	// the teams did not change.
	KeysRequired bool
	KeepsTeams   bool
	Teams        []Team
}

// Diff returns the difference from version old to version f. It returns false if the versions
// can't be compared because two queues share a name.
func (f *FleetConfig) Diff(old *FleetConfig) (FleetDelta, bool) {
	f.indexOnce.Do(f.buildIndex)
	old.indexOnce.Do(old.buildIndex)
	d := FleetDelta{Version: f.Version, Services: f.Services, Limits: f.Limits, KeysRequired: f.KeysRequired}
	if len(f.byName) != len(f.Queues) || len(old.byName) != len(old.Queues) {
		return FleetDelta{}, false
	}
	sameTeam := func(a, b Team) bool { return a.equal(&b) }
	if d.KeepsTeams = slices.EqualFunc(f.Teams, old.Teams, sameTeam); !d.KeepsTeams {
		d.Teams = f.Teams
	}
	for i := range f.Queues {
		q := &f.Queues[i]
		if j, ok := old.byName[q.Name]; !ok || !q.equal(&old.Queues[j]) {
			d.Changed = append(d.Changed, *q)
		}
	}
	for i := range old.Queues {
		if _, ok := f.byName[old.Queues[i].Name]; !ok {
			d.Removed = append(d.Removed, old.Queues[i].Name)
		}
	}
	return d, true
}

// Whole returns the difference from an empty configuration to f.
func (f *FleetConfig) Whole() FleetDelta {
	return FleetDelta{
		Version: f.Version, Changed: f.Queues, Services: f.Services, Limits: f.Limits, KeysRequired: f.KeysRequired, Teams: f.Teams,
	}
}

// Apply returns the version that results when d is applied to version old, or to an empty
// configuration if old is nil. Queues that did not change keep their order, and new ones follow.
func (d FleetDelta) Apply(old *FleetConfig) *FleetConfig {
	f := &FleetConfig{Version: d.Version, Services: d.Services, Limits: d.Limits, KeysRequired: d.KeysRequired, Teams: d.Teams}
	if d.KeepsTeams && old != nil {
		f.Teams = old.Teams
	}
	if old == nil {
		f.Queues = d.Changed
		return f
	}
	replaced := make(map[string]*Queue, len(d.Changed))
	for i := range d.Changed {
		replaced[d.Changed[i].Name] = &d.Changed[i]
	}
	removed := make(map[string]bool, len(d.Removed))
	for _, name := range d.Removed {
		removed[name] = true
	}
	f.Queues = make([]Queue, 0, len(old.Queues)+len(d.Changed))
	for i := range old.Queues {
		name := old.Queues[i].Name
		switch q, ok := replaced[name]; {
		case ok:
			f.Queues = append(f.Queues, *q)
			delete(replaced, name)
		case !removed[name]:
			f.Queues = append(f.Queues, old.Queues[i])
		}
	}
	for i := range d.Changed {
		if _, ok := replaced[d.Changed[i].Name]; ok {
			f.Queues = append(f.Queues, d.Changed[i])
		}
	}
	return f
}

// equal reports whether two queues have the same fields.
func (q *Queue) equal(o *Queue) bool {
	a, b := *q, *o
	sameAdvice := a.Advice == b.Advice || (a.Advice != nil && b.Advice != nil && *a.Advice == *b.Advice)
	a.Advice, b.Advice = nil, nil
	return sameAdvice && a == b
}
