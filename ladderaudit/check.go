package ladderaudit

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// gangSpread is how far apart the tasks of one start of a gang may begin.
const gangSpread = 2 * time.Second

// Check returns every violation that the evidence shows.
func Check(e Evidence) []Violation {
	sort.SliceStable(e.Events, func(i, j int) bool { return e.Events[i].At < e.Events[j].At })
	var found []Violation
	for _, rule := range []func(Evidence) []Violation{
		capacity, place, once, answers, notrun, leaving, gangs, jobs, configuration,
	} {
		found = append(found, rule(e)...)
	}
	return found
}

// capacity finds workers that were given more than they hold.
func capacity(e Evidence) []Violation {
	var found []Violation
	used := map[string]Size{}
	running := map[string]Event{}
	for _, x := range e.Events {
		u := used[x.Worker]
		id := x.Worker + " " + x.Task
		switch x.Event {
		case "start":
			running[id] = x
			u = Size{u.Slots + x.Slots, u.Cores + x.Cores, u.Memory + x.Memory, u.Accel + x.Accel}
		case "end", "stop":
			s, ok := running[id]
			if !ok {
				continue
			}
			delete(running, id)
			u = Size{u.Slots - s.Slots, u.Cores - s.Cores, u.Memory - s.Memory, u.Accel - s.Accel}
		}
		if s, ok := running[id]; ok && x.Event == "throttle" {
			u = Size{u.Slots, u.Cores - s.Cores + x.Cores, u.Memory, u.Accel}
			running[id] = x
		}
		used[x.Worker] = u
		has, known := e.Sizes[x.Worker]
		if x.Event == "start" && known &&
			(u.Slots > has.Slots || u.Cores > has.Cores || u.Memory > has.Memory || u.Accel > has.Accel) {
			found = append(found, Violation{"capacity", fmt.Sprintf("worker %s at task %s: %+v of %+v", x.Worker, x.Task, u, has)})
		}
	}
	return found
}

// place finds requests that ran in two places at once.
func place(e Evidence) []Violation {
	var found []Violation
	running := map[string]map[string]bool{}
	for _, x := range e.Events {
		if x.Kind != "urgent" {
			continue
		}
		key := x.key()
		switch x.Event {
		case "start":
			if running[key] == nil {
				running[key] = map[string]bool{}
			}
			running[key][x.Worker+" "+x.Task] = true
			if len(running[key]) > 1 {
				found = append(found, Violation{"place", fmt.Sprintf("%s runs %d times at once", key, len(running[key]))})
			}
		case "end", "stop":
			delete(running[key], x.Worker+" "+x.Task)
		}
	}
	return found
}

// once finds requests that must not be repeated and were.
func once(e Evidence) []Violation {
	var found []Violation
	starts := map[string]int{}
	for _, x := range e.Events {
		if x.Event != "start" || !e.Once[x.Class] || x.Kind != "urgent" {
			continue
		}
		starts[x.key()]++
		if starts[x.key()] == 2 {
			found = append(found, Violation{"once", x.key() + " ran more than once"})
		}
	}
	return found
}

// answers finds answers that are not whole or not the caller's own.
func answers(e Evidence) []Violation {
	var found []Violation
	for _, x := range e.Exchanges {
		if x.Outcome == "ran" && x.Got != x.Want {
			found = append(found, Violation{"answer", fmt.Sprintf("request %s got %q and should have %q", x.Request, x.Got, x.Want)})
		}
	}
	return found
}

// notrun finds requests that ran though their callers were told otherwise.
func notrun(e Evidence) []Violation {
	var found []Violation
	requests, keys := map[string]bool{}, map[string]int64{}
	for _, x := range e.Events {
		if x.Event != "start" {
			continue
		}
		requests[x.request()] = true
		if _, ok := keys[x.key()]; !ok {
			keys[x.key()] = x.At
		}
	}
	for _, x := range e.Exchanges {
		if x.Outcome != "notrun" {
			continue
		}
		first, ran := keys[x.Member+"/"+x.Key]
		before := ran && x.Key != "" && first < x.Answered.UnixNano()
		if requests[x.Request] || before {
			found = append(found, Violation{"notrun", fmt.Sprintf("request %s of key %q ran", x.Request, x.Key)})
		}
	}
	return found
}

// leaving finds work that was given to workers that were leaving.
func leaving(e Evidence) []Violation {
	var found []Violation
	left := map[string]int64{}
	for _, x := range e.Events {
		switch x.Event {
		case "leave":
			left[x.Worker] = x.At
		case "start":
			at, ok := left[x.Worker]
			if ok && time.Duration(x.At-at) > e.Grace {
				found = append(found, Violation{"leaving", fmt.Sprintf("worker %s got %s %v after it left",
					x.Worker, x.Task, time.Duration(x.At-at))})
			}
		}
	}
	return found
}

// gangs finds gangs of which only some tasks began together.
func gangs(e Evidence) []Violation {
	first, last := map[string]int64{}, map[string]int64{}
	count, width := map[string]int{}, map[string]int{}
	for _, x := range e.Events {
		if x.Event != "start" || x.Kind != "gang" {
			continue
		}
		parts := strings.Split(x.Task, "/")
		id := parts[0] + " attempt " + parts[len(parts)-1]
		if count[id] == 0 {
			first[id] = x.At
		}
		count[id]++
		last[id] = x.At
		width[parts[0]] = max(width[parts[0]], count[id])
	}
	var found []Violation
	for id, n := range count {
		job, _, _ := strings.Cut(id, " ")
		if n < width[job] {
			found = append(found, Violation{"gang", fmt.Sprintf("%s began %d of %d tasks", id, n, width[job])})
		}
		if spread := time.Duration(last[id] - first[id]); spread > gangSpread {
			found = append(found, Violation{"gang", fmt.Sprintf("%s began over %v", id, spread)})
		}
	}
	return found
}

// jobs finds accepted jobs that did not end.
func jobs(e Evidence) []Violation {
	var found []Violation
	for _, j := range e.Jobs {
		if j.State != "done" && j.State != "failed" && j.State != "cancelled" {
			found = append(found, Violation{"job", fmt.Sprintf("job %s is %q in the end", j.ID, j.State)})
		}
	}
	return found
}

// configuration finds entry VMs that went back to an older version.
func configuration(e Evidence) []Violation {
	var found []Violation
	seen := append([]Seen(nil), e.Versions...)
	sort.SliceStable(seen, func(i, j int) bool { return seen[i].At.Before(seen[j].At) })
	highest := map[string]uint64{}
	for _, s := range seen {
		if s.Version < highest[s.VM] {
			found = append(found, Violation{"configuration", fmt.Sprintf("%s went from version %d to %d", s.VM, highest[s.VM], s.Version)})
		}
		highest[s.VM] = max(highest[s.VM], s.Version)
	}
	return found
}
