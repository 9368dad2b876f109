package laddercodec

import (
	"fmt"
	"net/netip"
	"time"

	"lacewingladder/ladderclaim"
	"lacewingladder/ladderconfig"
	"lacewingladder/ladderholder"
	"lacewingladder/ladderkey"
	"lacewingladder/laddermessage"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderplacement"
)

// The functions of this file convert messages and their parts to and from wire types.
// Functions named fromX return the wire type of X, and functions named toX do the reverse.

func fromSize(s laddermodel.Size) sizeWire {
	return sizeWire{Slots: s.Slots, Millicores: s.Millicores, Memory: s.Memory, Accelerators: s.Accelerators}
}

func toSize(w sizeWire) laddermodel.Size {
	return laddermodel.Size{Slots: w.Slots, Millicores: w.Millicores, Memory: w.Memory, Accelerators: w.Accelerators}
}

// fromDigest leaves the holder, region and zone empty if they are those of the heartbeat's
// sender. That keeps heartbeats small.
func fromDigest(from laddermodel.EntryVM, d ladderplacement.Digest) digestWire {
	w := digestWire{
		Rack: d.Rack, Free: fromSize(d.Free), LargestFree: fromSize(d.LargestFree), Home: d.Home,
		PredictedWait: int64(d.PredictedWait),
	}
	if d.Holder != from.Name || d.Region != from.Region || d.Zone != from.Zone {
		w.Holder, w.Region, w.Zone = d.Holder, d.Region, d.Zone
	}
	return w
}

// toDigest fills in the fields that fromDigest left empty.
func toDigest(heartbeat heartbeatWire, w digestWire) ladderplacement.Digest {
	if w.Holder == "" {
		w.Holder, w.Region, w.Zone = heartbeat.Name, heartbeat.Region, heartbeat.Zone
	}
	return ladderplacement.Digest{
		Holder: w.Holder, Region: w.Region, Zone: w.Zone, Rack: w.Rack,
		Free: toSize(w.Free), LargestFree: toSize(w.LargestFree), Home: w.Home, PredictedWait: time.Duration(w.PredictedWait),
	}
}

func fromHeartbeat(h laddermessage.Heartbeat) heartbeatWire {
	return heartbeatWire{
		Name: h.From.Name, Region: h.From.Region, Zone: h.From.Zone, PeerAddress: h.From.PeerAddress.String(),
		Incarnation: h.Incarnation, Version: h.Version, Draining: h.Draining,
		Digests: mapAll(h.Digests, func(d ladderplacement.Digest) digestWire { return fromDigest(h.From, d) }),
		Leaving: h.Leaving, Joining: h.Joining,
	}
}

func toHeartbeat(w heartbeatWire) (laddermessage.Heartbeat, error) {
	address, err := netip.ParseAddrPort(w.PeerAddress)
	if err != nil {
		return laddermessage.Heartbeat{}, fmt.Errorf("beat of %q: %w", w.Name, err)
	}
	return laddermessage.Heartbeat{
		From:        laddermodel.EntryVM{Name: w.Name, Region: w.Region, Zone: w.Zone, PeerAddress: address},
		Incarnation: w.Incarnation, Version: w.Version, Draining: w.Draining,
		Digests: mapAll(w.Digests, func(d digestWire) ladderplacement.Digest { return toDigest(w, d) }),
		Leaving: w.Leaving, Joining: w.Joining,
	}, nil
}

func fromCapacityRequest(r ladderholder.CapacityRequest) capacityRequestWire {
	return capacityRequestWire{
		Task: r.Task, Source: r.Source, Kind: int(r.Kind), Size: fromSize(r.Size), Policy: r.Policy,
		MaxWait: int64(r.MaxWait), Rack: r.Rack, ExcludedWorker: r.ExcludedWorker,
	}
}

func toCapacityRequest(w capacityRequestWire) ladderholder.CapacityRequest {
	return ladderholder.CapacityRequest{
		Task: w.Task, Source: w.Source, Kind: toKind(w.Kind), Size: toSize(w.Size), Policy: w.Policy,
		MaxWait: time.Duration(w.MaxWait), Rack: w.Rack, ExcludedWorker: w.ExcludedWorker,
	}
}

// toKind converts an unknown kind to batch, the only kind that may be preempted.
func toKind(w int) laddermodel.Kind {
	k := laddermodel.Kind(w)
	if k < laddermodel.Urgent || k > laddermodel.Service {
		return laddermodel.Batch
	}
	return k
}

func fromReserved(r laddermodel.Reservation) reservedWire {
	return reservedWire{
		Task: r.Task, Worker: fromWorker(r.Worker),
		Boot: r.Grant.Boot, Epoch: r.Grant.Epoch, Until: int64(r.Grant.Until), Holder: r.Holder,
	}
}

func toReserved(w reservedWire) (laddermessage.Reserved, error) {
	worker, err := toWorker(w.Worker)
	if err != nil {
		return laddermessage.Reserved{}, err
	}
	return laddermessage.Reserved{Reservation: laddermodel.Reservation{
		Task: w.Task, Worker: worker, Holder: w.Holder,
		Grant: laddermodel.Grant{
			Worker: worker.Name, Boot: w.Boot, Epoch: w.Epoch, Until: time.Duration(w.Until),
		},
	}}, nil
}

func toNoCapacity(w noCapacityWire) (laddermessage.NoCapacity, error) {
	return laddermessage.NoCapacity{Reason: w.Reason, RetryAfter: time.Duration(w.RetryAfter)}, nil
}

func fromTaskEnd(e ladderholder.TaskEnd) taskEndWire {
	return taskEndWire{
		Worker: e.Worker, Task: e.Task, Source: e.Source,
		Ran: e.Ran, Failed: e.Failed, Fenced: e.Fenced, Leaving: e.Leaving,
	}
}

func toTaskEnd(w taskEndWire) ladderholder.TaskEnd {
	return ladderholder.TaskEnd{
		Worker: w.Worker, Task: w.Task, Source: w.Source,
		Ran: w.Ran, Failed: w.Failed, Fenced: w.Fenced, Leaving: w.Leaving,
	}
}

func fromRequest(r laddermodel.Request) requestWire {
	return requestWire{
		ID: r.ID, Key: r.Key, Member: r.Member, Class: r.Class, Deadline: int64(r.Deadline), Body: r.Body,
		Hops: r.Hops,
	}
}

func toRequest(w requestWire) laddermodel.Request {
	return laddermodel.Request{
		ID: w.ID, Key: w.Key, Member: w.Member, Class: w.Class, Deadline: time.Duration(w.Deadline), Body: w.Body,
		Hops: w.Hops,
	}
}

func fromAnswer(a laddermodel.Answer) answerWire {
	return answerWire{
		Outcome: int(a.Outcome), Body: a.Body, Reason: a.Reason, RetryAfter: int64(a.RetryAfter),
		Conflict: a.Conflict, Worker: a.Worker, Attempts: a.Attempts,
	}
}

// toAnswer converts an undefined outcome to [laddermodel.Unknown].
func toAnswer(w answerWire) laddermodel.Answer {
	outcome := laddermodel.Outcome(w.Outcome)
	if outcome != laddermodel.Ran && outcome != laddermodel.NotRun {
		outcome = laddermodel.Unknown
	}
	return laddermodel.Answer{
		Outcome: outcome, Body: w.Body, Reason: w.Reason, RetryAfter: time.Duration(w.RetryAfter),
		Conflict: w.Conflict, Worker: w.Worker, Attempts: w.Attempts,
	}
}

func fromConfigUpdate(m laddermessage.ConfigUpdate) configUpdateWire {
	v := m.Version
	return configUpdateWire{
		Number: v.Number, ChangeID: v.ChangeID, Operator: v.Operator, Document: v.Document,
		Workers: mapAll(m.Listing.Workers, fromWorker),
		EntryVMs: mapAll(m.Listing.EntryVMs, func(e laddermodel.EntryVM) entryVMWire {
			return entryVMWire{
				Name: e.Name, Region: e.Region, Zone: e.Zone, PeerAddress: e.PeerAddress.String(), Leaving: e.Leaving,
			}
		}),
	}
}

func toConfigUpdate(w configUpdateWire) (laddermessage.ConfigUpdate, error) {
	m := laddermessage.ConfigUpdate{
		Version: ladderconfig.Version{Number: w.Number, ChangeID: w.ChangeID, Operator: w.Operator, Document: w.Document},
	}
	for _, x := range w.Workers {
		worker, err := toWorker(x)
		if err != nil {
			return laddermessage.ConfigUpdate{}, err
		}
		m.Listing.Workers = append(m.Listing.Workers, worker)
	}
	for _, x := range w.EntryVMs {
		address, err := netip.ParseAddrPort(x.PeerAddress)
		if err != nil {
			return laddermessage.ConfigUpdate{}, fmt.Errorf("entry VM %q: %w", x.Name, err)
		}
		m.Listing.EntryVMs = append(m.Listing.EntryVMs, laddermodel.EntryVM{
			Name: x.Name, Region: x.Region, Zone: x.Zone, PeerAddress: address, Leaving: x.Leaving,
		})
	}
	return m, nil
}

func fromWorker(w laddermodel.Worker) workerWire {
	return workerWire{
		Name: w.Name, Region: w.Region, Zone: w.Zone, Rack: w.Rack, Address: w.Address.String(),
		Size: fromSize(w.Size), Leaving: w.Leaving,
	}
}

func toWorker(w workerWire) (laddermodel.Worker, error) {
	address, err := netip.ParseAddrPort(w.Address)
	if err != nil {
		return laddermodel.Worker{}, fmt.Errorf("worker %q: %w", w.Name, err)
	}
	return laddermodel.Worker{
		Name: w.Name, Region: w.Region, Zone: w.Zone, Rack: w.Rack, Address: address,
		Size: toSize(w.Size), Leaving: w.Leaving,
	}, nil
}

func fromRecord(r ladderkey.Record) recordWire {
	use := r.Use
	return recordWire{
		Key: use.Key, Rack: use.Rack, Member: use.Member, Digest: use.Digest, Once: use.Once, Lease: int64(use.Lease),
		Answer: fromAnswer(r.Answer), At: r.At.UnixNano(),
	}
}

func toRecord(w recordWire) ladderkey.Record {
	return ladderkey.Record{
		Use: ladderkey.KeyUse{
			Key: w.Key, Rack: w.Rack, Member: w.Member, Digest: w.Digest, Once: w.Once,
			Lease: time.Duration(w.Lease),
		},
		Answer: toAnswer(w.Answer), At: time.Unix(0, w.At),
	}
}

func fromHandoverHome(m laddermessage.HandoverHome) handoverHomeWire {
	return handoverHomeWire{
		Rack: m.Handover.Rack, Since: m.Handover.Since.UnixNano(),
		Boots: m.Handover.Boots, Epochs: m.Handover.Epochs, Records: mapAll(m.Records, fromRecord),
	}
}

func toHandoverHome(w handoverHomeWire) (laddermessage.HandoverHome, error) {
	return laddermessage.HandoverHome{
		Handover: ladderclaim.Handover{
			Rack: w.Rack, Since: time.Unix(0, w.Since), Boots: w.Boots, Epochs: w.Epochs,
		},
		Records: mapAll(w.Records, toRecord),
	}, nil
}

func fromEndedTasks(m laddermessage.EndedTasks) endedTasksWire {
	return endedTasksWire{
		Incarnation: m.Incarnation, HeldWorkers: m.HeldWorkers,
		Ends: mapAll(m.Ends, func(f ladderholder.FinishedTask) finishedTaskWire {
			return finishedTaskWire{
				Seq: f.Seq, Task: f.Task, Worker: f.Worker, EndReported: f.EndReported, Failed: f.Failed, Stopped: f.Stopped,
			}
		}),
	}
}

func toEndedTasks(w endedTasksWire) (laddermessage.EndedTasks, error) {
	return laddermessage.EndedTasks{
		Incarnation: w.Incarnation, HeldWorkers: w.HeldWorkers,
		Ends: mapAll(w.Ends, func(f finishedTaskWire) ladderholder.FinishedTask {
			return ladderholder.FinishedTask{
				Seq: f.Seq, Task: f.Task, Worker: f.Worker, EndReported: f.EndReported, Failed: f.Failed, Stopped: f.Stopped,
			}
		}),
	}, nil
}

func fromJobStatus(m laddermessage.JobStatus) jobStatusWire {
	return jobStatusWire{Found: m.Found, State: m.State, Reason: m.Reason, Running: m.Running, Ended: m.Ended}
}

func toJobStatus(w jobStatusWire) (laddermessage.JobStatus, error) {
	return laddermessage.JobStatus{Found: w.Found, State: w.State, Reason: w.Reason, Running: w.Running, Ended: w.Ended}, nil
}
