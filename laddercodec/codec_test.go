package laddercodec_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderclaim"
	"lacewingladder/laddercodec"
	"lacewingladder/ladderconfig"
	"lacewingladder/ladderflow"
	"lacewingladder/ladderholder"
	"lacewingladder/ladderkey"
	"lacewingladder/laddermessage"
	"lacewingladder/laddermodel"
	"lacewingladder/ladderplacement"
	"lacewingladder/platform"
)

var (
	address = netip.MustParseAddrPort("127.0.0.1:7")
	size    = laddermodel.Size{Slots: 1, Millicores: 2, Memory: 3, Accelerators: 4}
	vm      = laddermodel.EntryVM{Name: "e", Region: "r", Zone: "z", Peers: address}
	worker  = laddermodel.Worker{Name: "w", Region: "r", Zone: "z", Rack: "k", Address: address, Size: size, Leaving: true}
	answer  = laddermodel.Answer{Outcome: laddermodel.Ran, Body: []byte("b"), Reason: "why", RetryAfter: 5, Conflict: true, Worker: "w", Attempts: 2}
)

// messages contains a message of every kind, with every field set.
var messages = map[string]laddermessage.Message{
	"beat": laddermessage.Beat{From: vm, Incarnation: "i", Version: 3, Draining: true, Joining: true, Leaving: []string{"w"}, Digests: []ladderplacement.Digest{
		{Holder: "e", Region: "r", Zone: "z", Rack: "k", Free: size, Widest: size, Home: true, Waiting: time.Second},
		{Holder: "f", Region: "s", Zone: "y", Rack: "l"},
	}},
	"reserve": laddermessage.Reserve{Ask: ladderholder.Ask{Task: "t", Source: "s", Kind: laddermodel.Gang, Size: size, Policy: "pack", Patience: time.Second, Rack: "k", Avoid: "w"}},
	"room": laddermessage.Room{Reservation: laddermodel.Reservation{
		Task: "t", Worker: worker, Holder: "e", Grant: laddermodel.Grant{Worker: "w", Boot: 1 << 62, Epoch: 2, Until: time.Hour},
	}},
	"full":     laddermessage.Full{Reason: "why", RetryAfter: time.Second},
	"release":  laddermessage.Release{Ends: []ladderholder.End{{Worker: "w", Task: "t", Source: "s", Ran: true, Failed: true, Fenced: true, Leaving: true}}},
	"forward":  laddermessage.Forward{Request: laddermodel.Request{ID: "q", Key: "k", Member: "m", Class: "c", Deadline: 5, Body: []byte("b"), Hops: 2}},
	"answered": laddermessage.Answered{Answer: answer},
	"fetch":    laddermessage.Fetch{},
	"push": laddermessage.Push{
		Version: ladderconfig.Version{Number: 7, Change: "c", By: "ann", Document: "d"},
		Listing: laddermodel.Listing{Workers: []laddermodel.Worker{worker}, Entries: []laddermodel.EntryVM{vm}},
	},
	"move": laddermessage.Move{
		Handover: ladderclaim.Handover{Rack: "k", Since: time.Unix(5, 6), Boots: map[string]uint64{"w": 1}, Epochs: map[string]uint64{"w": 2}},
		Records:  []ladderkey.Record{{Claim: ladderkey.Claim{Key: "x", Rack: "k", Member: "m", Digest: 1 << 63, Once: true, Lease: 9}, Answer: answer, At: time.Unix(7, 8)}},
	},
	"ends":    laddermessage.Ends{Incarnation: "i", After: 4},
	"ended":   laddermessage.Ended{Incarnation: "i", Held: []string{"w"}, Ends: []ladderholder.Finished{{Seq: 1, Task: "t", Worker: "w", Known: true, Failed: true, Stopped: true}}},
	"running": laddermessage.Running{},
	"runs":    laddermessage.Runs{Incarnation: "i", Workers: map[string]string{"t": "w"}, Held: []string{"w"}},
	"notice":  laddermessage.Notice{Jobs: []string{"j"}},
	"look":    laddermessage.Look{Job: "j"},
	"seen":    laddermessage.Seen{Known: true, State: "running", Reason: "why", Running: 1, Ended: 2},
	"done":    laddermessage.Done{},
	"fault":   laddermessage.Fault{Reason: "why"},

	"accepted":    laddermessage.Accepted{Job: "j", Body: []byte("b")},
	"cancelled":   laddermessage.Cancelled{Job: "j"},
	"state of":    laddermessage.StateOf{Job: "j"},
	"state is":    laddermessage.StateIs{Known: true, State: "done"},
	"count":       laddermessage.Count{Queue: "q"},
	"counted":     laddermessage.Counted{Pending: 3},
	"not leading": laddermessage.NotLeading{},
	"consult":     laddermessage.Consult{Step: ladderflow.StepRef{Job: "j", Round: 1, Step: 2}, Workers: []string{"w"}},
	"consulted":   laddermessage.Consulted{Tickets: []ladderflow.Ticket{{Worker: "w", Text: "t"}}, Valid: time.Second, Refused: true},
	"carry": laddermessage.Carry{To: address, Within: time.Second, Call: platform.Call{
		Method: "POST", Path: "/p", Instance: "i", Holder: "h", Fence: 4, Body: []byte("b"),
	}},
	"carried": laddermessage.Carried{Reply: platform.Reply{Status: 200, Body: []byte("b")}, Unsent: true, Failed: true},
	"tell":    laddermessage.Tell{Job: "j", JSON: true},
	"told":    laddermessage.Told{Known: true, Text: "t"},
	"errands": laddermessage.Errands{
		Fence: 1, Valid: 2, Void: 3, Hold: 4, Within: 5,
		Charges:   []laddermessage.Charge{{Worker: "w", Address: address, Noted: 6, Born: 7}},
		Dismissed: []string{"v"},
		Starts: []laddermessage.StartErrand{{Worker: "w", Address: address, Start: ladderflow.Start{
			Run: run, Payload: "p", Saved: "s", Ticket: "t", Until: time.Second, Fence: 1,
		}}},
		Stops: []laddermessage.StopErrand{{Worker: "w", Address: address, Run: run}},
		Paces: []laddermessage.PaceErrand{{Worker: "w", Address: address, Run: run, Percent: 40}},
	},
	"inquire": laddermessage.Inquire{Fence: 1, After: 2, Valid: 3, Wait: 4},
	"report": laddermessage.Report{
		Session: "s", Number: 1, Heard: 2, Clock: 3,
		Looks: []laddermessage.LookReport{{Worker: "w", Sent: 4, Outcome: laddermessage.LookOtherLife, Look: ladderflow.Look{
			Born: 5, Clock: 6, Running: []ladderflow.LiveRun{{Run: run, Saved: "s", Percent: 7, Tail: 8, Used: 9}},
			Ended: []ladderflow.EndedRun{{Number: 1, Run: run, How: ladderflow.EndBroken, Saved: "s"}},
		}}},
		Results: []laddermessage.OrderReport{{
			Worker: "w", Run: run, Stop: true, Refusal: ladderflow.RefusedOld, Unsent: true, Unknown: true, Took: time.Second,
		}},
	},
}

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
