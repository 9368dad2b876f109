package ladderplan

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderflow"
)

// TestTeamsAreExplained checks what explain and top say of a team that uses more than its share, and of one that the
// configuration does not have any more.
func TestTeamsAreExplained(t *testing.T) {
	h := newShareHarness(t, 1, map[string]float64{"a": 100, "b": 100})
	h.send("a", "a0", stepOf(4))
	require.Len(t, h.startAll(), 4)
	h.send("a", "a1", stepOf(4))
	h.send("b", "b0", stepOf(3))
	h.send("", "c0", stepOf(1))
	pass := func() {
		h.advance(100 * time.Millisecond)
		h.pollAll(map[string][]ladderflow.ActiveRun{"w0": h.activeRuns()})
		h.plan()
	}
	for range 30 { // The debt of the first team grows beyond what one step alone adds.
		pass()
	}
	explain := func(id string) Explanation {
		e, ok := h.planner.Explain(h.now, id)
		require.True(t, ok)
		return e
	}
	require.Contains(t, explain("a1").String(), "  team a: 4 runs use 8000m/4000MiB/0a, quota none; over its share by 2.0; 2 jobs before it\n")
	require.Contains(t, explain("b0").String(), "  team b: 0 runs use 0m/0MiB/0a, quota none; within its share; 0 jobs before it\n")
	require.Nil(t, explain("c0").Team)
	require.NotContains(t, explain("c0").String(), "team")

	f := &ladderflow.FleetConfig{Version: 3, Queues: h.planner.fleet.Queues, Teams: []ladderflow.Team{
		{Name: "b", Weight: 100, Quota: ladderflow.Size{Processor: 2000}},
	}}
	h.planner.SetFleet(f)
	pass()
	o := h.planner.Overview(h.now)
	require.Regexp(t, `(?m)^a +100 .* 4 +1 +1 .* over its share by 2.0, not in the configuration$`, o.String())
	require.Regexp(t, `(?m)^b +100 .* 0 +0 +1 +0 .* 2000m/0MiB/0a +within its share$`, o.String())
	_, err := json.Marshal(o)
	require.NoError(t, err)

	h.planner.SetFleet(&ladderflow.FleetConfig{Version: 4, Queues: f.Queues})
	pass()
	require.Empty(t, h.planner.Overview(h.now).Teams)
	require.NotContains(t, h.planner.Overview(h.now).String(), "team")
	require.Nil(t, explain("a1").Team)
}
