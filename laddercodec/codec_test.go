package laddercodec_test

import (
	"bytes"
	"compress/flate"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclaim"
	"lacewingladder/laddercodec"
	"lacewingladder/ladderconfig"
	"lacewingladder/ladderflow"
	"lacewingladder/ladderholder"
	"lacewingladder/ladderintake"
	"lacewingladder/ladderkey"
	"lacewingladder/laddermessage"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderplacement"
	"lacewingladder/platform"
)

var (
	address = netip.MustParseAddrPort("127.0.0.1:7")
	size    = laddermodel.Size{Slots: 1, Millicores: 2, Memory: 3, Accelerators: 4}
	vm      = laddermodel.EntryVM{Name: "e", Region: "r", Zone: "z", PeerAddress: address}
	worker  = laddermodel.Worker{Name: "w", Region: "r", Zone: "z", Rack: "k", Address: address, Size: size, Leaving: true}
	answer  = laddermodel.Answer{Outcome: laddermodel.Ran, Body: []byte("b"), Reason: "why", RetryAfter: 5, Conflict: true, Worker: "w", Attempts: 2}
)

// messages contains a message of every kind, with every field set.
var messages = map[string]laddermessage.Message{
	"heartbeat": laddermessage.Heartbeat{From: vm, Incarnation: "i", Version: 3, Draining: true, Joining: true, Leaving: []string{"w"}, Digests: []ladderplacement.Digest{
		{Holder: "e", Region: "r", Zone: "z", Rack: "k", Free: size, LargestFree: size, Home: true, PredictedWait: time.Second},
		{Holder: "f", Region: "s", Zone: "y", Rack: "l"},
	}},
	"reserve": laddermessage.Reserve{Request: ladderholder.CapacityRequest{Task: "t", Source: "s", Kind: laddermodel.Gang, Size: size, Policy: "pack", MaxWait: time.Second, Rack: "k", ExcludedWorker: "w"}},
	"reserved": laddermessage.Reserved{Reservation: laddermodel.Reservation{
		Task: "t", Worker: worker, Holder: "e", Grant: laddermodel.Grant{Worker: "w", Boot: 1 << 62, Epoch: 2, Until: time.Hour},
	}},
	"no capacity":   laddermessage.NoCapacity{Reason: "why", RetryAfter: time.Second},
	"release":       laddermessage.Release{Ends: []ladderholder.TaskEnd{{Worker: "w", Task: "t", Source: "s", Ran: true, Failed: true, Fenced: true, Leaving: true}}},
	"forward":       laddermessage.Forward{Request: laddermodel.Request{ID: "q", Key: "k", Member: "m", Class: "c", Deadline: 5, Body: []byte("b"), Hops: 2}},
	"forward reply": laddermessage.ForwardReply{Answer: answer},
	"fetch config":  laddermessage.FetchConfig{},
	"config update": laddermessage.ConfigUpdate{
		Version: ladderconfig.Version{Number: 7, ChangeID: "c", Operator: "ann", Document: "d"},
		Listing: laddermodel.Listing{Workers: []laddermodel.Worker{worker}, EntryVMs: []laddermodel.EntryVM{vm}},
	},
	"handover home": laddermessage.HandoverHome{
		Handover: ladderclaim.Handover{Rack: "k", Since: time.Unix(5, 6), Boots: map[string]uint64{"w": 1}, Epochs: map[string]uint64{"w": 2}},
		Records:  []ladderkey.Record{{Use: ladderkey.KeyUse{Key: "x", Rack: "k", Member: "m", Digest: 1 << 63, Once: true, Lease: 9}, Answer: answer, At: time.Unix(7, 8)}},
	},
	"ended tasks query":   laddermessage.EndedTasksQuery{Incarnation: "i", After: 4},
	"ended tasks":         laddermessage.EndedTasks{Incarnation: "i", HeldWorkers: []string{"w"}, Ends: []ladderholder.FinishedTask{{Seq: 1, Task: "t", Worker: "w", EndReported: true, Failed: true, Stopped: true}}},
	"running tasks query": laddermessage.RunningTasksQuery{},
	"running tasks":       laddermessage.RunningTasks{Incarnation: "i", Workers: map[string]string{"t": "w"}, HeldWorkers: []string{"w"}},
	"jobs changed":        laddermessage.JobsChanged{Jobs: []string{"j"}},
	"job status query":    laddermessage.JobStatusQuery{Job: "j"},
	"job status":          laddermessage.JobStatus{Found: true, State: "running", Reason: "why", Running: 1, Ended: 2},
	"ack":                 laddermessage.Ack{},
	"error reply":         laddermessage.ErrorReply{Reason: "why"},

	"job accepted":       laddermessage.JobAccepted{Job: "j", Body: []byte("b"), Revision: 7},
	"job cancelled":      laddermessage.JobCancelled{Job: "j"},
	"job state query":    laddermessage.JobStateQuery{Job: "j"},
	"job state":          laddermessage.JobState{Found: true, State: "done"},
	"state of a team":    laddermessage.JobState{Found: true, State: "done", Team: "a", Queue: "q"},
	"queue length query": laddermessage.QueueLengthQuery{Queue: "q"},
	"queue length":       laddermessage.QueueLength{Pending: 3},
	"not leader":         laddermessage.NotLeader{},
	"advice query":       laddermessage.AdviceQuery{Step: ladderflow.StepRef{Job: "j", Round: 1, Step: 2}, Workers: []string{"w"}},
	"advice reply":       laddermessage.AdviceReply{Tickets: []ladderflow.Ticket{{Worker: "w", Text: "t"}}, TicketLifetime: time.Second, Refused: true},
	"relay call": laddermessage.RelayCall{To: address, Timeout: time.Second, Call: platform.Call{
		Method: "POST", Path: "/p", Instance: "i", Incarnation: 9, Holder: "h", Fence: 4, Body: []byte("b"),
	}},
	"relay reply":    laddermessage.RelayReply{Reply: platform.Reply{Status: 200, Body: []byte("b")}, Unsent: true, Failed: true},
	"operator query": laddermessage.OperatorQuery{Job: "j", JSON: true},
	"store query":    laddermessage.StoreStatusQuery{},
	"store status":   laddermessage.StoreStatus{Unavailable: true, Leader: 5},
	"fleet offer":    laddermessage.FleetOffer{From: "e", Revision: 7},
	"fleet fetch":    laddermessage.FleetFetch{Have: 5},
	"fleet state": laddermessage.FleetState{
		Revision: 7, FleetRevision: 6, Base: 5, Delta: []byte("d"), Items: []platform.Item{{Key: "k", Value: []byte("v"), ModRevision: 4}},
	},
	"operator reply": laddermessage.OperatorReply{Found: true, Text: "t"},
	"intake report":  laddermessage.IntakeReport{VM: "e", Counts: []ladderintake.Count{{Key: intakeKey, Admitted: 1, Referred: 2}}, Unsettled: []string{"j"}},
	"intake limits": laddermessage.IntakeLimits{Limits: []ladderintake.Limit{
		{Key: intakeKey, Rate: 1.25, Backlogs: [ladderintake.Classes]time.Duration{2: time.Second, 5: time.Minute}},
	}},
	"intake query": laddermessage.IntakeQuery{Cause: ladderintake.Rate, Offer: ladderintake.Offer{
		Key: intakeKey, Job: "j", Weight: 2.5, Path: 5, Objective: 4, Allowance: 3, Slack: 2, Due: 3 * time.Second, Class: ladderintake.ClassOf(3 * time.Second),
	}},
	"intake turn": laddermessage.IntakeTurn{Found: true, Promised: true, Ready: true, Wait: time.Second},
	"delegation": laddermessage.Delegation{
		Fence: 1, RenewUntil: 2, SendBefore: 3, LeaseDuration: 4, OrderTimeout: 5,
		Assigned:   []laddermessage.Assignment{{Worker: "w", Address: address, Acknowledged: 6, Incarnation: 7}},
		Unassigned: []string{"v"},
		Starts: []laddermessage.DelegatedStart{{Worker: "w", Address: address, Start: ladderflow.Start{
			Run: run, Payload: "p", Checkpoint: "s", Ticket: "t", Incarnation: 8, LeaseUntil: time.Second, Fence: 1,
		}}},
		Stops:       []laddermessage.DelegatedStop{{Worker: "w", Address: address, Run: run}},
		SpeedLimits: []laddermessage.DelegatedSpeedLimit{{Worker: "w", Address: address, Run: run, Percent: 40}},
	},
	"delegate poll": laddermessage.DelegatePoll{Fence: 1, After: 2, RenewUntil: 3, Wait: 4},
	"delegate report": laddermessage.DelegateReport{
		Session: "s", Number: 1, ReceivedAt: 2, RepliedAt: 3,
		Polls: []laddermessage.PollResult{{Worker: "w", SentAt: 4, Outcome: laddermessage.PollOtherWorker, Status: ladderflow.StatusReport{
			Incarnation: 5, Clock: 6, Running: []ladderflow.ActiveRun{{Run: run, Checkpoint: "s", Percent: 7, TailLatency: 8, ProcessorUsed: 9}},
			Ended: []ladderflow.EndedRun{{Sequence: 1, Run: run, Reason: ladderflow.EndGangBroken, Checkpoint: "s"}},
		}}},
		Results: []laddermessage.OrderResult{{
			Worker: "w", Run: run, Stop: true, Refusal: ladderflow.RefusedOldRun, Unsent: true, Unknown: true, Duration: time.Second,
		}},
	},
}

// intakeKey names a team's jobs in messages about them.
var intakeKey = ladderintake.Key{Service: "s", Team: "t"}

// run is the run in messages about runs.
var run = ladderflow.Run{Task: ladderflow.Task{Job: "j", Round: 1, Step: 2, Index: 3}, Number: 4}

// TestRoundTrip checks that every message is the same after encoding and decoding.
func TestRoundTrip(t *testing.T) {
	for name, m := range messages {
		t.Run(name, func(t *testing.T) {
			data, err := laddercodec.Encode(m)
			require.NoError(t, err)
			decoded, err := laddercodec.Decode(data)
			require.NoError(t, err)
			require.Equal(t, m, decoded)
		})
	}
}

// TestJobStateOfEarlierBuild checks that the state of a job without a team has the form that builds from before
// teams encode and decode.
func TestJobStateOfEarlierBuild(t *testing.T) {
	earlier := append([]byte{67, 0x82, 0xf5, 0x64}, "done"...)
	data, err := laddercodec.Encode(laddermessage.JobState{Found: true, State: "done"})
	require.NoError(t, err)
	require.Equal(t, earlier, data)
	m, err := laddercodec.Decode(earlier)
	require.NoError(t, err)
	require.Equal(t, laddermessage.JobState{Found: true, State: "done"}, m)
	data, err = laddercodec.Encode(laddermessage.JobState{Found: true, State: "done", Team: "a", Queue: "q"})
	require.NoError(t, err)
	require.Equal(t, byte(0x84), data[1], "builds from before teams decode an array of two only")
}

// FuzzDecode checks that Decode never panics, and that each message that it returns can be
// encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range messages {
		data, err := laddercodec.Encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	// An array with the maximum length that CBOR can express.
	f.Add([]byte{1, 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := laddercodec.Decode(data)
		if err != nil {
			return
		}
		if _, err := laddercodec.Encode(m); err != nil {
			t.Fatalf("%T was decoded but cannot be encoded: %v", m, err)
		}
	})
}

// TestDelta checks that a difference of configurations is the same after encoding, and that
// input that is cut or expands without limit is rejected.
func TestDelta(t *testing.T) {
	want := ladderflow.FleetDelta{
		Version: 3, Removed: []string{"old"},
		Changed: []ladderflow.Queue{
			{
				Name: "q", Host: "h", Prefix: "/p/", Service: "s", RequestTimeout: time.Second, Priority: 1, MaxFailures: 2,
				ObjectiveFactor: 1.5, BaseObjective: time.Minute,
				Advice: &ladderflow.AdviceConfig{BaseTime: 1, TimePerWorker: 2, TicketLifetime: 3},
			},
			{Name: "without advice", Public: true},
		},
		Services:     map[string]ladderflow.Service{"s": {Name: "s", EnforcesCapacity: true, PoweredOff: true}},
		Limits:       ladderflow.Limits{MaxHeaderBytes: 1, MaxBodyBytes: 2, HeaderTimeout: 3, IdleTimeout: 4},
		KeysRequired: true,
		Teams: []ladderflow.Team{{
			Name: "a", Keys: []ladderflow.KeyHash{ladderflow.HashKey("key")}, Weight: 2.5,
			Quota: ladderflow.Size{Processor: 1, Memory: 2, Accelerators: 3},
		}},
	}
	data, err := laddercodec.EncodeDelta(want)
	require.NoError(t, err)
	got, err := laddercodec.DecodeDelta(data)
	require.NoError(t, err)
	require.Equal(t, want, got)
	_, err = laddercodec.DecodeDelta(data[:len(data)-3])
	require.ErrorContains(t, err, "difference of configurations")
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestSpeed)
	require.NoError(t, err)
	_, err = w.Write(make([]byte, 32<<20))
	require.NoError(t, err)
	require.NoError(t, w.Close())
	_, err = laddercodec.DecodeDelta(bomb.Bytes())
	require.ErrorContains(t, err, "more than")
}

// TestMalformedIntake checks that messages of a peer with figures that make no sense are rejected or corrected.
func TestMalformedIntake(t *testing.T) {
	for name, o := range map[string]ladderintake.Offer{
		"weight negative": {Weight: -1},
		"no weight":       {Weight: math.NaN()},
		"infinite weight": {Weight: math.Inf(1)},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := laddercodec.Encode(laddermessage.IntakeQuery{Offer: o})
			require.NoError(t, err)
			_, err = laddercodec.Decode(data)
			require.Error(t, err)
		})
	}
	data, err := laddercodec.Encode(laddermessage.IntakeReport{Counts: []ladderintake.Count{{Admitted: -5, Referred: 3}}})
	require.NoError(t, err)
	m, err := laddercodec.Decode(data)
	require.NoError(t, err)
	require.Equal(t, []ladderintake.Count{{Referred: 3}}, m.(laddermessage.IntakeReport).Counts)
}
