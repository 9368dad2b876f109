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
		Rack: d.Rack, Free: fromSize(d.Free), Widest: fromSize(d.LargestFree), Home: d.Home, Waiting: int64(d.PredictedWait),
	}
	if d.Holder != from.Name || d.Region != from.Region || d.Zone != from.Zone {
		w.Holder, w.Region, w.Zone = d.Holder, d.Region, d.Zone
	}
	return w
}

// toDigest fills in the fields that fromDigest left empty.
func toDigest(beat beatWire, w digestWire) ladderplacement.Digest {
	if w.Holder == "" {
		w.Holder, w.Region, w.Zone = beat.Name, beat.Region, beat.Zone
	}
	return ladderplacement.Digest{
		Holder: w.Holder, Region: w.Region, Zone: w.Zone, Rack: w.Rack,
		Free: toSize(w.Free), LargestFree: toSize(w.Widest), Home: w.Home, PredictedWait: time.Duration(w.Waiting),
	}
}

func fromBeat(b laddermessage.Heartbeat) beatWire {
	return beatWire{
		Name: b.From.Name, Region: b.From.Region, Zone: b.From.Zone, Peers: b.From.PeerAddress.String(),
		Incarnation: b.Incarnation, Version: b.Version, Draining: b.Draining,
		Digests: mapAll(b.Digests, func(d ladderplacement.Digest) digestWire { return fromDigest(b.From, d) }),
		Leaving: b.Leaving, Joining: b.Joining,
	}
}

func toBeat(w beatWire) (laddermessage.Heartbeat, error) {
	address, err := netip.ParseAddrPort(w.Peers)
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

func fromAsk(a ladderholder.CapacityRequest) askWire {
	return askWire{
		Task: a.Task, Source: a.Source, Kind: int(a.Kind), Size: fromSize(a.Size), Policy: a.Policy,
		Patience: int64(a.MaxWait), Rack: a.Rack, Avoid: a.ExcludedWorker,
	}
}

func toAsk(w askWire) ladderholder.CapacityRequest {
	return ladderholder.CapacityRequest{
		Task: w.Task, Source: w.Source, Kind: toKind(w.Kind), Size: toSize(w.Size), Policy: w.Policy,
		MaxWait: time.Duration(w.Patience), Rack: w.Rack, ExcludedWorker: w.Avoid,
	}
}

// toKind converts an unknown kind to batch, the kind that gives way to all others.
func toKind(w int) laddermodel.Kind {
	k := laddermodel.Kind(w)
	if k < laddermodel.Urgent || k > laddermodel.Service {
		return laddermodel.Batch
	}
	return k
}

func fromRoom(r laddermodel.Reservation) roomWire {
	return roomWire{
		Task: r.Task, Worker: fromWorker(r.Worker),
		Boot: r.Grant.Boot, Epoch: r.Grant.Epoch, Until: int64(r.Grant.Until), Holder: r.Holder,
	}
}

func toRoom(w roomWire) (laddermessage.Reserved, error) {
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

func toFull(w fullWire) (laddermessage.NoCapacity, error) {
	return laddermessage.NoCapacity{Reason: w.Reason, RetryAfter: time.Duration(w.RetryAfter)}, nil
}

func fromEnd(e ladderholder.TaskEnd) endWire {
	return endWire{
		Worker: e.Worker, Task: e.Task, Source: e.Source,
		Ran: e.Ran, Failed: e.Failed, Fenced: e.Fenced, Leaving: e.Leaving,
	}
}

func toEnd(w endWire) ladderholder.TaskEnd {
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

func fromPush(m laddermessage.ConfigUpdate) pushWire {
	v := m.Version
	return pushWire{
		Number: v.Number, Change: v.ChangeID, By: v.Operator, Document: v.Document,
		Workers: mapAll(m.Listing.Workers, fromWorker),
		Entries: mapAll(m.Listing.EntryVMs, func(e laddermodel.EntryVM) entryWire {
			return entryWire{Name: e.Name, Region: e.Region, Zone: e.Zone, Peers: e.PeerAddress.String(), Leaving: e.Leaving}
		}),
	}
}

func toPush(w pushWire) (laddermessage.ConfigUpdate, error) {
	m := laddermessage.ConfigUpdate{
		Version: ladderconfig.Version{Number: w.Number, ChangeID: w.Change, Operator: w.By, Document: w.Document},
	}
	for _, x := range w.Workers {
		worker, err := toWorker(x)
		if err != nil {
			return laddermessage.ConfigUpdate{}, err
		}
		m.Listing.Workers = append(m.Listing.Workers, worker)
	}
	for _, x := range w.Entries {
		address, err := netip.ParseAddrPort(x.Peers)
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
	c := r.Use
	return recordWire{
		Key: c.Key, Rack: c.Rack, Member: c.Member, Digest: c.Digest, Once: c.Once, Lease: int64(c.Lease),
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

func fromMove(m laddermessage.HandoverHome) moveWire {
	return moveWire{
		Rack: m.Handover.Rack, Since: m.Handover.Since.UnixNano(),
		Boots: m.Handover.Boots, Epochs: m.Handover.Epochs, Records: mapAll(m.Records, fromRecord),
	}
}

func toMove(w moveWire) (laddermessage.HandoverHome, error) {
	return laddermessage.HandoverHome{
		Handover: ladderclaim.Handover{
			Rack: w.Rack, Since: time.Unix(0, w.Since), Boots: w.Boots, Epochs: w.Epochs,
		},
		Records: mapAll(w.Records, toRecord),
	}, nil
}

func fromEnded(m laddermessage.EndedTasks) endedWire {
	return endedWire{
		Incarnation: m.Incarnation, Held: m.HeldWorkers,
		Ends: mapAll(m.Ends, func(f ladderholder.FinishedTask) finishedWire {
			return finishedWire{
				Seq: f.Seq, Task: f.Task, Worker: f.Worker, Known: f.EndReported, Failed: f.Failed, Stopped: f.Stopped,
			}
		}),
	}
}

func toEnded(w endedWire) (laddermessage.EndedTasks, error) {
	return laddermessage.EndedTasks{
		Incarnation: w.Incarnation, HeldWorkers: w.Held,
		Ends: mapAll(w.Ends, func(f finishedWire) ladderholder.FinishedTask {
			return ladderholder.FinishedTask{
				Seq: f.Seq, Task: f.Task, Worker: f.Worker, EndReported: f.Known, Failed: f.Failed, Stopped: f.Stopped,
			}
		}),
	}, nil
}

func fromSeen(m laddermessage.JobStatus) seenWire {
	return seenWire{Known: m.Found, State: m.State, Reason: m.Reason, Running: m.Running, Ended: m.Ended}
}

func toSeen(w seenWire) (laddermessage.JobStatus, error) {
	return laddermessage.JobStatus{Found: w.Known, State: w.State, Reason: w.Reason, Running: w.Running, Ended: w.Ended}, nil
}
