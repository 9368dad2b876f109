package laddercommand

import (
	"lacewingladder/ladderfinding"
	"lacewingladder/ladderflow"
	"lacewingladder/platform"
)

// checkFleet returns all findings in the operators' configuration of the members' platform as one error. No finding shows
// a key.
func checkFleet(file string, data []byte) error {
	place := ladderfinding.Place{File: file}
	f, malformed, err := platform.ParseFleet(data)
	if err != nil {
		return err
	}
	var findings ladderfinding.List
	for _, x := range malformed.Findings() {
		findings.Add(place, "%s", x.Text)
	}
	queues := map[string]bool{}
	for i := range f.Queues {
		q := &f.Queues[i]
		if queues[q.Name] {
			findings.Add(place, "routes[%d]: the name %q occurs twice; the first one counts", i, q.Name)
		}
		queues[q.Name] = true
		if _, ok := f.Services[q.Service]; !ok {
			findings.Add(place, "routes[%d]: there is no service %q", i, q.Service)
		}
	}
	checkTeams(&findings, place, f)
	return findings.Err()
}

// checkTeams adds the findings in the teams of a configuration.
func checkTeams(findings *ladderfinding.List, place ladderfinding.Place, f *ladderflow.FleetConfig) {
	teams, owners := map[string]bool{}, map[ladderflow.KeyHash]string{}
	for i := range f.Teams {
		t := &f.Teams[i]
		switch {
		case teams[t.Name]:
			findings.Add(place, "team %q occurs twice; the first one counts", t.Name)
			continue
		case len(t.Keys) == 0:
			findings.Add(place, "team %q has no keys; its callers can't submit jobs", t.Name)
		case t.Weight == 0:
			findings.Add(place, "team %q has no weight; under contention it gets nothing", t.Name)
		}
		teams[t.Name] = true
		for j, h := range t.Keys {
			switch owner, ok := owners[h]; {
			case ok && owner == t.Name:
				findings.Add(place, "team %q has apiKeys[%d] twice", t.Name, j)
			case ok:
				findings.Add(place, "team %q: apiKeys[%d] is a key of team %q too; it belongs to neither", t.Name, j, owner)
			case h == ladderflow.HashKey(""):
				findings.Add(place, "team %q: apiKeys[%d] is empty", t.Name, j)
			}
			owners[h] = t.Name
		}
	}
}
