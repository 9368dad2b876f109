package ladderaudit

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// maxGangStartDelay is the longest time between the first and the last start of a
// task in one attempt of a gang.
const maxGangStartDelay = 2 * time.Second

// Check returns the violations that the evidence shows. It sorts e.Events by time.
func Check(e Evidence) []Violation {
	sort.SliceStable(e.Events, func(i, j int) bool { return e.Events[i].At < e.Events[j].At })
	var found []Violation
	for _, check := range []func(Evidence) []Violation{
		checkCapacity, checkPlace, checkOnce, checkAnswers, checkNotRun, checkLeaving, checkGangs, checkJobs,
		checkConfiguration,
	} {
		found = append(found, check(e)...)
	}
	return found
}

// checkCapacity finds workers whose running tasks exceeded their capacity.
func checkCapacity(e Evidence) []Violation {
	var found []Violation
	used := map[string]Size{}
	running := map[string]Event{}
	for _, event := range e.Events {
		total := used[event.Worker]
		runKey := event.Worker + " " + event.Task
		switch event.Name {
		case "start":
			running[runKey] = event
			total = Size{
				total.Slots + event.Slots, total.Cores + event.Cores,
				total.Memory + event.Memory, total.Accel + event.Accel,
			}
		case "end", "stop":
			started, ok := running[runKey]
			if !ok {
				continue
			}
			delete(running, runKey)
			total = Size{
				total.Slots - started.Slots, total.Cores - started.Cores,
				total.Memory - started.Memory, total.Accel - started.Accel,
			}
		}
		if started, ok := running[runKey]; ok && event.Name == "throttle" {
			total = Size{total.Slots, total.Cores - started.Cores + event.Cores, total.Memory, total.Accel}
			running[runKey] = event
		}
		used[event.Worker] = total
		capacity, known := e.Sizes[event.Worker]
		if event.Name == "start" && known && (total.Slots > capacity.Slots || total.Cores > capacity.Cores ||
			total.Memory > capacity.Memory || total.Accel > capacity.Accel) {
			found = append(found, Violation{"capacity", fmt.Sprintf("worker %s at task %s: %+v of %+v",
				event.Worker, event.Task, total, capacity)})
		}
	}
	return found
}

// checkPlace finds requests of which two attempts ran at the same time.
func checkPlace(e Evidence) []Violation {
	var found []Violation
	running := map[string]map[string]bool{}
	for _, event := range e.Events {
		if event.Kind != "urgent" {
			continue
		}
		key := event.key()
		switch event.Name {
		case "start":
			if running[key] == nil {
				running[key] = map[string]bool{}
			}
			running[key][event.Worker+" "+event.Task] = true
			if len(running[key]) > 1 {
				found = append(found, Violation{"place", fmt.Sprintf("%s runs %d times at once", key, len(running[key]))})
			}
		case "end", "stop":
			delete(running[key], event.Worker+" "+event.Task)
		}
	}
	return found
}

// checkOnce finds requests that must not run twice and were started twice.
func checkOnce(e Evidence) []Violation {
	var found []Violation
	starts := map[string]int{}
	for _, event := range e.Events {
		if event.Name != "start" || !e.RunOnceClasses[event.Class] || event.Kind != "urgent" {
			continue
		}
		starts[event.key()]++
		if starts[event.key()] == 2 {
			found = append(found, Violation{"once", event.key() + " ran more than once"})
		}
	}
	return found
}

// checkAnswers finds responses that are incomplete or belong to another request.
func checkAnswers(e Evidence) []Violation {
	var found []Violation
	for _, exchange := range e.Exchanges {
		if exchange.Outcome == "ran" && exchange.Got != exchange.Want {
			found = append(found, Violation{"answer", fmt.Sprintf("request %s got %q and should have %q",
				exchange.Request, exchange.Got, exchange.Want)})
		}
	}
	return found
}

// checkNotRun finds requests that were started although their callers received the
// outcome notrun. A request with a key also counts if another request with the same
// key was started before the response.
func checkNotRun(e Evidence) []Violation {
	var found []Violation
	started, firstStart := map[string]bool{}, map[string]int64{}
	for _, event := range e.Events {
		if event.Name != "start" {
			continue
		}
		started[event.request()] = true
		if _, ok := firstStart[event.key()]; !ok {
			firstStart[event.key()] = event.At
		}
	}
	for _, exchange := range e.Exchanges {
		if exchange.Outcome != "notrun" {
			continue
		}
		first, ran := firstStart[exchange.Member+"/"+exchange.Key]
		before := ran && exchange.Key != "" && first < exchange.AnsweredAt.UnixNano()
		if started[exchange.Request] || before {
			found = append(found, Violation{"notrun", fmt.Sprintf("request %s of key %q ran", exchange.Request, exchange.Key)})
		}
	}
	return found
}

// checkLeaving finds tasks that were started on a worker later than the grace period
// after its leave event.
func checkLeaving(e Evidence) []Violation {
	var found []Violation
	leftAt := map[string]int64{}
	for _, event := range e.Events {
		switch event.Name {
		case "leave":
			leftAt[event.Worker] = event.At
		case "start":
			leave, hasLeft := leftAt[event.Worker]
			if hasLeft && time.Duration(event.At-leave) > e.LeaveGrace {
				found = append(found, Violation{"leaving", fmt.Sprintf("worker %s got %s %v after it left",
					event.Worker, event.Task, time.Duration(event.At-leave))})
			}
		}
	}
	return found
}

// checkGangs finds attempts of gangs that did not start all their tasks, or did not
// start them within maxGangStartDelay. The number of tasks of a gang is the largest
// number that any of its attempts started, since the records do not contain it.
func checkGangs(e Evidence) []Violation {
	first, last := map[string]int64{}, map[string]int64{}
	count, width := map[string]int{}, map[string]int{}
	for _, event := range e.Events {
		if event.Name != "start" || event.Kind != "gang" {
			continue
		}
		parts := strings.Split(event.Task, "/")
		attempt := parts[0] + " attempt " + parts[len(parts)-1]
		if count[attempt] == 0 {
			first[attempt] = event.At
		}
		count[attempt]++
		last[attempt] = event.At
		width[parts[0]] = max(width[parts[0]], count[attempt])
	}
	var found []Violation
	for attempt, n := range count {
		job, _, _ := strings.Cut(attempt, " ")
		if n < width[job] {
			found = append(found, Violation{"gang", fmt.Sprintf("%s began %d of %d tasks", attempt, n, width[job])})
		}
		if delay := time.Duration(last[attempt] - first[attempt]); delay > maxGangStartDelay {
			found = append(found, Violation{"gang", fmt.Sprintf("%s began over %v", attempt, delay)})
		}
	}
	return found
}

// checkJobs finds accepted jobs that did not end.
func checkJobs(e Evidence) []Violation {
	var found []Violation
	for _, job := range e.Jobs {
		if job.State != "done" && job.State != "failed" && job.State != "cancelled" {
			found = append(found, Violation{"job", fmt.Sprintf("job %s is %q in the end", job.ID, job.State)})
		}
	}
	return found
}

// checkConfiguration finds entry VMs that went back to an older version of the
// configuration.
func checkConfiguration(e Evidence) []Violation {
	var found []Violation
	samples := append([]VersionSample(nil), e.Versions...)
	sort.SliceStable(samples, func(i, j int) bool { return samples[i].At.Before(samples[j].At) })
	highest := map[string]uint64{}
	for _, sample := range samples {
		if sample.Version < highest[sample.VM] {
			found = append(found, Violation{"configuration", fmt.Sprintf("%s went from version %d to %d", sample.VM, highest[sample.VM], sample.Version)})
		}
		highest[sample.VM] = max(highest[sample.VM], sample.Version)
	}
	return found
}
