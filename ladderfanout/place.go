package ladderfanout

import (
	"cmp"
	"slices"
	"time"
)

// Member is a registered VM.
type Member struct {
	Name string
	// Region is the VM's region. VMs of different regions share no link to the store.
	Region string
	// Processor is the VM's processor capacity, in thousandths of a core.
	Processor int
	// Leads is true for the leader.
	Leads bool
}

// Placement is a VM's place among the registered VMs.
type Placement struct {
	// Rank is the VM's number in its region, in the order in which VMs become readers, from 0.
	Rank int
	// Members is the number of VMs in the region, with this one.
	Members int
	// Home is true if the VM's region is the leader's, or if there is no leader.
	Home bool
}

// Fleet is the set of registered VMs as one of them sees it.
type Fleet struct {
	Own Member
	// Others holds the other VMs.
	Others []Member
}

// Place returns the place of the fleet's own VM.
func (f Fleet) Place() Placement {
	home, led := f.home()
	p := Placement{Members: 1, Home: !led || home == f.Own.Region}
	for _, m := range f.Others {
		if m.Region != f.Own.Region {
			continue
		}
		p.Members++
		if compare(m, f.Own) < 0 {
			p.Rank++
		}
	}
	return p
}

// Sources returns the names of the VMs to ask for their state, in that order.
func (f Fleet) Sources() []string {
	region := f.Own.Region
	if home, led := f.home(); led && f.Place().Rank < readers {
		region = home
	}
	near := f.inRegion(region)
	return names(near[:min(readers, len(near))])
}

// Asked returns the names of the VMs to ask for changes while the store does not answer: one of the own region and
// one of the others, each in turn. Some of them may not know more than this VM, so the argument turn should be a
// different one each time.
func (f Fleet) Asked(turn int) []string {
	near := f.inRegion(f.Own.Region)
	far := slices.DeleteFunc(slices.Clone(f.Others), func(m Member) bool { return m.Region == f.Own.Region })
	slices.SortFunc(far, compare)
	var all []string
	for _, members := range [][]Member{near, far} {
		if len(members) > 0 {
			all = append(all, members[turn%len(members)].Name)
		}
	}
	return all
}

// Targets returns the names of the VMs to which to offer a change, those first that pass it on.
// The argument source names the VM from which the change came; it is empty for the store.
func (f Fleet) Targets(source string) []string {
	if source == "" {
		return names(relaysFirst(f.Others))
	}
	if from, ok := f.find(source); ok && from.Region == f.Own.Region {
		return nil
	}
	return names(f.inRegion(f.Own.Region))
}

// relaysFirst returns the first VMs of each region, by rank, then the next ones of each region,
// and so on.
func relaysFirst(members []Member) []Member {
	sorted := slices.Clone(members)
	slices.SortFunc(sorted, compare)
	seen := map[string]int{}
	var groups [][]Member
	for _, m := range sorted {
		group := seen[m.Region] / readers
		seen[m.Region]++
		if group == len(groups) {
			groups = append(groups, nil)
		}
		groups[group] = append(groups[group], m)
	}
	return slices.Concat(groups...)
}

// names returns the names of VMs.
func names(members []Member) []string {
	all := make([]string, len(members))
	for i, m := range members {
		all[i] = m.Name
	}
	return all
}

// Accepts reports whether to fetch a change from the VM that offers it. Otherwise another VM of
// the own region will offer it.
func (f Fleet) Accepts(from string) bool {
	m, ok := f.find(from)
	return !ok || m.Region == f.Own.Region || f.Place().Rank < readers
}

// home returns the leader's region. It returns false if no leader is known.
func (f Fleet) home() (string, bool) {
	if f.Own.Leads {
		return f.Own.Region, true
	}
	for _, m := range f.Others {
		if m.Leads {
			return m.Region, true
		}
	}
	return "", false
}

// find returns the VM with the given name.
func (f Fleet) find(name string) (Member, bool) {
	i := slices.IndexFunc(f.Others, func(m Member) bool { return m.Name == name })
	if i < 0 {
		return Member{}, false
	}
	return f.Others[i], true
}

// inRegion returns the other VMs of a region in the order of their ranks.
func (f Fleet) inRegion(region string) []Member {
	near := slices.DeleteFunc(slices.Clone(f.Others), func(m Member) bool { return m.Region != region })
	slices.SortFunc(near, compare)
	return near
}

// compare orders VMs for reading: those with large processors, which also have fast links, come
// first, and among equals the leader comes last.
func compare(a, b Member) int {
	leads := func(m Member) int {
		if m.Leads {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(b.Processor, a.Processor), cmp.Compare(leads(a), leads(b)), cmp.Compare(a.Name, b.Name))
}

// reads reports whether the VM is a reader.
func (p Placement) reads() bool { return p.Home && p.Rank < readers }

// pollInterval returns the longest time between two polls of the VM.
func (p Placement) pollInterval() time.Duration {
	return min(max(minPollInterval, time.Duration(p.Members)*regionPollInterval), maxPollInterval)
}
