package ladderaudit_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderaudit"
)

// event returns an event of a request of the class booking that needs one slot.
func event(at time.Duration, worker, name, task string) ladderaudit.Event {
	return ladderaudit.Event{At: int64(at), Worker: worker, Name: name, Task: task, Kind: "urgent", Class: "booking", Slots: 1}
}

// gangStart returns the start event of a task of a gang.
func gangStart(at time.Duration, task string) ladderaudit.Event {
	e := event(at, "w", "start", task)
	e.Kind = "gang"
	return e
}

// TestEachRuleFindsItsViolation checks that each rule finds a violation in evidence
// that breaches it, and none in evidence that differs little and breaches no rule.
func TestEachRuleFindsItsViolation(t *testing.T) {
	tests := map[string]struct {
		rule string
		bad  ladderaudit.Evidence
		good ladderaudit.Evidence
	}{
		"capacity exceeded": {
			rule: "capacity",
			bad:  ladderaudit.Evidence{Events: []ladderaudit.Event{event(1, "w", "start", "m/k1/q1.1"), event(2, "w", "start", "m/k2/q2.1")}},
			good: ladderaudit.Evidence{Events: []ladderaudit.Event{event(1, "w", "start", "m/k1/q1.1"), event(2, "w", "end", "m/k1/q1.1"), event(3, "w", "start", "m/k2/q2.1")}},
		},
		"two attempts at once": {
			rule: "place",
			bad:  ladderaudit.Evidence{Events: []ladderaudit.Event{event(1, "w", "start", "q1.1"), event(2, "v", "start", "q1.2")}},
			good: ladderaudit.Evidence{Events: []ladderaudit.Event{event(1, "w", "start", "q1.1"), event(2, "w", "stop", "q1.1"), event(3, "v", "start", "q1.2")}},
		},
		"request run twice": {
			rule: "once",
			bad:  ladderaudit.Evidence{Events: []ladderaudit.Event{event(1, "w", "start", "m/k/q1.1"), event(2, "w", "end", "m/k/q1.1"), event(3, "v", "start", "m/k/q2.1")}},
			good: ladderaudit.Evidence{Events: []ladderaudit.Event{event(1, "w", "start", "m/k/q1.1"), event(2, "w", "end", "m/k/q1.1"), event(3, "v", "start", "m/l/q2.1")}},
		},
		"incomplete response": {
			rule: "answer",
			bad:  ladderaudit.Evidence{Exchanges: []ladderaudit.Exchange{{Outcome: "ran", Want: "whole", Got: "who"}}},
			good: ladderaudit.Evidence{Exchanges: []ladderaudit.Exchange{{Outcome: "ran", Want: "whole", Got: "whole"}}},
		},
		"response of another request": {
			rule: "answer",
			bad:  ladderaudit.Evidence{Exchanges: []ladderaudit.Exchange{{Outcome: "ran", Want: "mine", Got: "your"}}},
			good: ladderaudit.Evidence{Exchanges: []ladderaudit.Exchange{{Outcome: "unknown", Want: "mine", Got: "a reason"}}},
		},
		"notrun for a request that ran": {
			rule: "notrun",
			bad:  ladderaudit.Evidence{Events: []ladderaudit.Event{event(1, "w", "start", "q1.1")}, Exchanges: []ladderaudit.Exchange{{Request: "q1", Outcome: "notrun"}}},
			good: ladderaudit.Evidence{Events: []ladderaudit.Event{event(1, "w", "refuse", "q1.1")}, Exchanges: []ladderaudit.Exchange{{Request: "q1", Outcome: "notrun"}}},
		},
		"notrun for a key that ran": {
			rule: "notrun",
			bad:  ladderaudit.Evidence{Events: []ladderaudit.Event{event(1, "w", "start", "m/k/q1.1")}, Exchanges: []ladderaudit.Exchange{{Request: "q2", Member: "m", Key: "k", Outcome: "notrun", AnsweredAt: time.Unix(0, 5)}}},
			good: ladderaudit.Evidence{Events: []ladderaudit.Event{event(9, "w", "start", "m/k/q1.1")}, Exchanges: []ladderaudit.Exchange{{Request: "q2", Member: "m", Key: "k", Outcome: "notrun", AnsweredAt: time.Unix(0, 5)}}},
		},
		"start after leaving": {
			rule: "leaving",
			bad:  ladderaudit.Evidence{Events: []ladderaudit.Event{event(0, "w", "leave", ""), event(3*time.Second+1, "w", "start", "q1.1")}},
			good: ladderaudit.Evidence{Events: []ladderaudit.Event{event(0, "w", "leave", ""), event(3*time.Second, "w", "start", "q1.1")}},
		},
		"gang started in part": {
			rule: "gang",
			bad:  ladderaudit.Evidence{Events: []ladderaudit.Event{gangStart(1, "j/0/1"), gangStart(2, "j/0/2"), gangStart(3, "j/1/2")}},
			good: ladderaudit.Evidence{Events: []ladderaudit.Event{gangStart(1, "j/0/1"), gangStart(2, "j/1/1")}},
		},
		"job not ended": {
			rule: "job",
			bad:  ladderaudit.Evidence{Jobs: []ladderaudit.Job{{ID: "j", State: "queued"}}},
			good: ladderaudit.Evidence{Jobs: []ladderaudit.Job{{ID: "j", State: "cancelled"}}},
		},
		"older configuration": {
			rule: "configuration",
			bad:  ladderaudit.Evidence{Versions: []ladderaudit.VersionSample{{VM: "e", Version: 2, At: time.Unix(1, 0)}, {VM: "e", Version: 1, At: time.Unix(2, 0)}}},
			good: ladderaudit.Evidence{Versions: []ladderaudit.VersionSample{{VM: "e", Version: 2, At: time.Unix(2, 0)}, {VM: "e", Version: 1, At: time.Unix(1, 0)}}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for _, e := range []*ladderaudit.Evidence{&tt.bad, &tt.good} {
				e.Sizes = map[string]ladderaudit.Size{"w": {Slots: 1}, "v": {Slots: 1}}
				e.RunOnceClasses = map[string]bool{"booking": true}
				e.LeaveGrace = 3 * time.Second
				if tt.rule != "once" {
					e.RunOnceClasses = nil
				}
				if tt.rule == "gang" {
					e.Sizes = nil
				}
			}
			found := ladderaudit.Check(tt.bad)
			require.Len(t, found, 1)
			require.Equal(t, tt.rule, found[0].Rule)
			require.Empty(t, ladderaudit.Check(tt.good))
		})
	}
}

// TestReadEventsNamesTheBadLine checks that the error names the line that is not
// JSON.
func TestReadEventsNamesTheBadLine(t *testing.T) {
	_, err := ladderaudit.ReadEvents(strings.NewReader("{\"at\":1}\nnonsense\n"))
	require.ErrorContains(t, err, "line 2")
}

// TestThrottledTaskTakesLess checks that a throttled task counts against the
// capacity of its worker with its reduced number of cores.
func TestThrottledTaskTakesLess(t *testing.T) {
	start := func(at int64, task string) ladderaudit.Event {
		return ladderaudit.Event{At: at, Worker: "w", Name: "start", Task: task, Kind: "batch", Slots: 1, Cores: 8}
	}
	throttle := ladderaudit.Event{At: 2, Worker: "w", Name: "throttle", Task: "j/0/1", Kind: "batch", Slots: 1, Cores: 2}
	sizes := map[string]ladderaudit.Size{"w": {Slots: 2, Cores: 10}}
	require.Empty(t, ladderaudit.Check(ladderaudit.Evidence{Sizes: sizes, Events: []ladderaudit.Event{start(1, "j/0/1"), throttle, start(3, "j/1/1")}}))
	require.Len(t, ladderaudit.Check(ladderaudit.Evidence{Sizes: sizes, Events: []ladderaudit.Event{start(1, "j/0/1"), start(3, "j/1/1")}}), 1)
}
