package ladderholder

import (
	"sort"
	"strings"
	"time"

	"lacewingladder/ladderclaim"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderplacement"
)

// Tick returns the calls to workers that are due. The function wanted reports
// whether this VM should hold the workers of a rack, and mayRelease whether it
// may release the claims on the workers of a rack that it should not hold. If it
// releases a worker while a start is on its way there, the worker refuses the
// start and the task is tried on another worker.
func (h *Holder) Tick(now time.Time, wanted, mayRelease func(rack string) bool) []ladderclaim.Call {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.waitQueue.Serve(now)
	return h.claims.Tick(now, wanted, mayRelease)
}

// Observe handles a worker's answer to a call, which reports the state of the
// claim and the tasks that the worker runs.
func (h *Holder) Observe(now time.Time, call ladderclaim.Call, answer ladderclaim.Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	name := call.Worker.Name
	change := h.claims.HandleAnswer(now, call, answer)
	if change == ladderclaim.Stale {
		return
	}
	delete(h.leaving, name)
	if answer.Leaving {
		h.leaving[name] = now
	}
	switch change {
	case ladderclaim.NotHeld:
		h.ledger.Close(name)
		h.updateUrgentLoad(now)
		h.log.Info("another VM holds the worker's claim", "worker", name, "holder", answer.Holder, "epoch", answer.Epoch)
		return
	case ladderclaim.NewEpoch:
		h.ledger.Close(name)
		h.log.Info("worker granted the claim", "worker", name, "epoch", answer.Epoch)
	case ladderclaim.Renewed, ladderclaim.Stale:
	}
	if h.claims.HasReport(name) {
		h.reconcile(now, name, answer)
		return
	}
	if h.ledger.Open(call.Worker, answer.Boot, answer.Epoch, answer.Report) {
		h.claims.ReportApplied(name, answer.Report)
		h.recordEnds(now, name, answer.Report.Ended)
		h.updateUrgentLoad(now)
		h.waitQueue.Serve(now)
	}
}

// reconcile updates the ledger from a later report of a worker under the same
// claim, and records which tasks are gone.
func (h *Holder) reconcile(now time.Time, worker string, answer ladderclaim.Answer) {
	h.recordEnds(now, worker, answer.Report.Ended)
	h.claims.ReportApplied(worker, answer.Report)
	reported := map[string]bool{}
	for _, e := range answer.Report.Ended {
		reported[e.Task] = true
	}
	gone := h.ledger.Reconcile(worker, answer.Boot, answer.Report)
	for _, item := range gone {
		h.detector.EndedWithoutResult(worker)
		if item.Kind != laddermodel.Urgent && !reported[item.Task] {
			h.addFinished(FinishedTask{Task: item.Task, Worker: worker})
		}
	}
	if len(gone) > 0 {
		h.updateUrgentLoad(now)
		h.waitQueue.Serve(now)
	}
}

// recordEnds records the ends of jobs' tasks and releases their capacity.
func (h *Holder) recordEnds(now time.Time, worker string, ended []ladderclaim.Ended) {
	for _, e := range ended {
		h.ledger.Release(worker, e.Task)
		job, _, _ := strings.Cut(e.Task, "/")
		h.recordResult(now, TaskEnd{Worker: worker, Task: e.Task, Source: job, Ran: !e.Stopped, Failed: e.Failed})
		h.addFinished(FinishedTask{Task: e.Task, Worker: worker, EndReported: true, Failed: e.Failed, Stopped: e.Stopped})
	}
}

// addFinished stores the end of a job's task under the next sequence number. If
// there are too many ends, it drops the older half.
func (h *Holder) addFinished(f FinishedTask) {
	h.lastSeq++
	f.Seq = h.lastSeq
	h.finished = append(h.finished, f)
	if len(h.finished) > maxFinishedRecords {
		h.finished = append([]FinishedTask(nil), h.finished[maxFinishedRecords/2:]...)
	}
}

// CallFailed records that a worker did not answer a call.
func (h *Holder) CallFailed(now time.Time, call ladderclaim.Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claims.CallFailed(now, call)
}

// Home returns this VM's right to act as the home of a rack. It returns false
// unless the VM is the home, that is, holds claims on more than half of the
// workers that the rack is configured to have (its seats).
func (h *Holder) Home(now time.Time, rack string) (ladderclaim.Home, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.claims.Home(now, rack)
}

// StartHandover hands over a rack of which this VM is the home; see
// [ladderclaim.Book.StartHandover].
func (h *Holder) StartHandover(now time.Time, rack string) (ladderclaim.Handover, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.claims.StartHandover(now, rack)
}

// CancelHandover cancels a handover that did not reach its successor; see
// [ladderclaim.Book.CancelHandover].
func (h *Holder) CancelHandover(rack string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claims.CancelHandover(rack)
}

// AcceptHandover records a handover of a rack to this VM; see
// [ladderclaim.Book.AcceptHandover].
func (h *Holder) AcceptHandover(now time.Time, handover ladderclaim.Handover) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.claims.AcceptHandover(now, handover)
}

// HeldRacks returns the racks that contain workers held by this VM, in
// alphabetical order.
func (h *Holder) HeldRacks(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	seen := map[string]bool{}
	var racks []string
	for claimed := range h.claims.Held(now) {
		if rack := claimed.Worker.Rack; !seen[rack] {
			seen[rack] = true
			racks = append(racks, rack)
		}
	}
	sort.Strings(racks)
	return racks
}

// FinishedSince returns the ends of jobs' tasks with sequence numbers above
// after, and the names of the held workers that have reported their running
// tasks.
func (h *Holder) FinishedSince(now time.Time, after uint64) (ends []FinishedTask, held []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := sort.Search(len(h.finished), func(i int) bool { return h.finished[i].Seq > after })
	ends = append(ends, h.finished[at:]...)
	for claimed := range h.claims.Held(now) {
		if claimed.HasReport {
			held = append(held, claimed.Worker.Name)
		}
	}
	return ends, held
}

// RunningTasks returns the worker of each job's task that has reserved capacity
// here, by task.
func (h *Holder) RunningTasks(now time.Time) map[string]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	running := map[string]string{}
	for claimed := range h.claims.Held(now) {
		for _, item := range h.ledger.Items(claimed.Worker.Name) {
			if item.Kind != laddermodel.Urgent {
				running[item.Task] = claimed.Worker.Name
			}
		}
	}
	return running
}

// LeavingWorkers returns the names of the workers that recently reported to this
// VM that they are leaving, in alphabetical order. It excludes reports passed on
// by peers: if VMs passed on each other's reports, these would never expire.
func (h *Holder) LeavingWorkers(now time.Time) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	names := make([]string, 0, len(h.leaving))
	for n := range h.leaving {
		if reportedRecently(now, h.leaving, n) {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	return names
}

// Digests returns a summary of each rack with held workers, for this VM's peers.
func (h *Holder) Digests(now time.Time) []ladderplacement.Digest {
	h.mu.Lock()
	defer h.mu.Unlock()
	racks := map[string]*ladderplacement.Digest{}
	for claimed := range h.claims.Held(now) {
		w := claimed.Worker
		if !claimed.HasReport {
			continue
		}
		d, ok := racks[w.Rack]
		if !ok {
			_, home := h.claims.Home(now, w.Rack)
			d = &ladderplacement.Digest{
				Holder: h.name, Region: w.Region, Zone: w.Zone, Rack: w.Rack, Home: home, PredictedWait: h.waitQueue.PredictedWait(),
			}
			racks[w.Rack] = d
		}
		if h.refusesNewWork(now, claimed) || h.detector.Suspect(w.Name) || h.stopping {
			continue
		}
		free := h.ledger.Free(w.Name)
		d.Free = d.Free.Add(free)
		d.LargestFree = maxSize(d.LargestFree, free)
	}
	digests := make([]ladderplacement.Digest, 0, len(racks))
	for _, d := range racks {
		digests = append(digests, *d)
	}
	sort.Slice(digests, func(i, j int) bool { return digests[i].Rack < digests[j].Rack })
	return digests
}

// maxSize returns, for each resource, the larger of two amounts.
func maxSize(a, b laddermodel.Size) laddermodel.Size {
	return laddermodel.Size{
		Slots:        max(a.Slots, b.Slots),
		Millicores:   max(a.Millicores, b.Millicores),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// Slots returns the number of slots in use on all held workers, and their total
// number of slots.
func (h *Holder) Slots(now time.Time) (used, all int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for claimed := range h.claims.Held(now) {
		if claimed.HasReport {
			used += h.ledger.Used(claimed.Worker.Name).Slots
			all += claimed.Worker.Size.Slots
		}
	}
	return used, all
}
