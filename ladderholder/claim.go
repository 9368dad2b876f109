package ladderholder

import (
	"sort"
	"strings"
	"time"

	"lacewingladder/ladderclaim"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderplacement"
)

// Tick returns the calls to workers that are due. Wanted says which racks this
// VM should hold, and free which of the others it may give up. A start that is
// under way to a worker that was given up is refused there and tried elsewhere.
func (h *Holder) Tick(now time.Time, wanted, free func(rack string) bool) []ladderclaim.Call {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.line.Serve(now)
	return h.claims.Tick(now, wanted, free)
}

// Observe takes in a worker's answer: the claim, and what the worker runs.
func (h *Holder) Observe(now time.Time, call ladderclaim.Call, a ladderclaim.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := call.Worker.Name
	change := h.claims.Observe(now, call, a)
	if change == ladderclaim.Stale {
		return
	}
	delete(h.leaving, name)
	if a.Leaving {
		h.leaving[name] = now
	}
	switch change {
	case ladderclaim.Lost:
		h.ledger.Close(name)
		h.settleLoad(now)
		h.log.Info("claim elsewhere", "worker", name, "holder", a.Holder, "epoch", a.Epoch)
		return
	case ladderclaim.Begun:
		h.ledger.Close(name)
		h.log.Info("claim granted", "worker", name, "epoch", a.Epoch)
	case ladderclaim.Renewed, ladderclaim.Stale:
	}
	if h.claims.Opened(name) {
		h.reconcile(now, name, a)
		return
	}
	if h.ledger.Open(call.Worker, a.Boot, a.Epoch, a.Report) {
		h.claims.Reported(name, a.Report)
		h.finish(now, name, a.Report.Ended)
		h.settleLoad(now)
		h.line.Serve(now)
	}
}

// reconcile compares the ledger with a worker's later report.
func (h *Holder) reconcile(now time.Time, worker string, a ladderclaim.Answer) {
	h.finish(now, worker, a.Report.Ended)
	h.claims.Reported(worker, a.Report)
	known := map[string]bool{}
	for _, e := range a.Report.Ended {
		known[e.Task] = true
	}
	gone := h.ledger.Reconcile(worker, a.Boot, a.Report)
	for _, it := range gone {
		h.judge.EndedWithoutResult(worker)
		if it.Kind != laddermodel.Urgent && !known[it.Task] {
			h.note(Finished{Task: it.Task, Worker: worker})
		}
	}
	if len(gone) > 0 {
		h.settleLoad(now)
		h.line.Serve(now)
	}
}

// finish records the ends of jobs' tasks and gives their room back.
func (h *Holder) finish(now time.Time, worker string, ended []ladderclaim.Ended) {
	for _, e := range ended {
		h.ledger.Release(worker, e.Task)
		job, _, _ := strings.Cut(e.Task, "/")
		h.ended(now, End{Worker: worker, Task: e.Task, Source: job, Ran: !e.Stopped, Failed: e.Failed})
		h.note(Finished{Task: e.Task, Worker: worker, Known: true, Failed: e.Failed, Stopped: e.Stopped})
	}
}

func (h *Holder) note(f Finished) {
	h.seq++
	f.Seq = h.seq
	h.finished = append(h.finished, f)
	if len(h.finished) > maxFinished {
		h.finished = append([]Finished(nil), h.finished[maxFinished/2:]...)
	}
}

// Failed records that a worker did not answer a call.
func (h *Holder) Failed(now time.Time, call ladderclaim.Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claims.Failed(now, call)
}

// Home returns this VM's right as the home of a rack.
func (h *Holder) Home(now time.Time, rack string) (ladderclaim.Home, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.claims.Home(now, rack)
}

// Give hands the home of a rack over; see [ladderclaim.Book.Give].
func (h *Holder) Give(now time.Time, rack string) (ladderclaim.Handover, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.claims.Give(now, rack)
}

// Keep takes a handover back; see [ladderclaim.Book.Keep].
func (h *Holder) Keep(rack string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claims.Keep(rack)
}

// Take records a handover to this VM; see [ladderclaim.Book.Take].
func (h *Holder) Take(now time.Time, o ladderclaim.Handover) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claims.Take(now, o)
}

// Held returns the racks of which this VM holds workers, in order.
func (h *Holder) Held(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]bool{}
	var racks []string
	for x := range h.claims.Held(now) {
		if rack := x.Worker.Rack; !seen[rack] {
			seen[rack] = true
			racks = append(racks, rack)
		}
	}
	sort.Strings(racks)
	return racks
}

// Finished returns the ends of jobs' tasks numbered above after, and the workers
// that are held.
func (h *Holder) Finished(now time.Time, after uint64) (ends []Finished, held []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := sort.Search(len(h.finished), func(i int) bool { return h.finished[i].Seq > after })
	ends = append(ends, h.finished[at:]...)
	for x := range h.claims.Held(now) {
		if x.Opened {
			held = append(held, x.Worker.Name)
		}
	}
	return ends, held
}

// Running returns the jobs' tasks that have room here, by task, with the worker.
func (h *Holder) Running(now time.Time) map[string]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	running := map[string]string{}
	for x := range h.claims.Held(now) {
		for _, it := range h.ledger.Items(x.Worker.Name) {
			if it.Kind != laddermodel.Urgent {
				running[it.Task] = x.Worker.Name
			}
		}
	}
	return running
}

// Leaving returns the workers that said to this VM of late that they are leaving,
// by name. What peers told is not passed on, so that it can be forgotten.
func (h *Holder) Leaving(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := make([]string, 0, len(h.leaving))
	for n := range h.leaving {
		if recent(now, h.leaving, n) {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	return names
}

// Digests returns what peers should know of each rack that is held.
func (h *Holder) Digests(now time.Time) []ladderplacement.Digest {
	h.mu.Lock()
	defer h.mu.Unlock()
	racks := map[string]*ladderplacement.Digest{}
	for x := range h.claims.Held(now) {
		w := x.Worker
		if !x.Opened {
			continue
		}
		d, ok := racks[w.Rack]
		if !ok {
			_, home := h.claims.Home(now, w.Rack)
			d = &ladderplacement.Digest{
				Holder: h.name, Region: w.Region, Zone: w.Zone, Rack: w.Rack, Home: home, Waiting: h.line.PredictedWait(),
			}
			racks[w.Rack] = d
		}
		if h.closed(now, x) || h.judge.Suspect(w.Name) || h.stopping {
			continue
		}
		free := h.ledger.Free(w.Name)
		d.Free = d.Free.Add(free)
		d.Widest = wider(d.Widest, free)
	}
	digests := make([]ladderplacement.Digest, 0, len(racks))
	for _, d := range racks {
		digests = append(digests, *d)
	}
	sort.Slice(digests, func(i, j int) bool { return digests[i].Rack < digests[j].Rack })
	return digests
}

// wider returns the larger of two sizes in every part.
func wider(a, b laddermodel.Size) laddermodel.Size {
	return laddermodel.Size{
		Slots:        max(a.Slots, b.Slots),
		Millicores:   max(a.Millicores, b.Millicores),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// Slots returns the slots in use and the slots of all workers that are held.
func (h *Holder) Slots(now time.Time) (used, all int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for x := range h.claims.Held(now) {
		if x.Opened {
			used += h.ledger.Used(x.Worker.Name).Slots
			all += x.Worker.Size.Slots
		}
	}
	return used, all
}
