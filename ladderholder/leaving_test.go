package ladderholder_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderholder"
	"lacewingladder/ladderlog"
	"lacewingladder/laddermodel"
)

func TestPeerReportOfALeavingWorkerExpires(t *testing.T) {
	tests := map[string]struct {
		after time.Duration
		want  bool
	}{
		"just reported":     {},
		"reported long ago": {after: 15 * time.Second, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h, now := newClaimedHolder(1, ladderlog.Discard().Component("holder"))
			h.SetPeerLeaving(now, []string{"w0000"})
			_, err := h.Reserve(now.Add(tt.after), ladderholder.CapacityRequest{Task: "t", Size: laddermodel.Size{Slots: 1}, Policy: "first"})
			require.Equal(t, tt.want, err == nil, "a later worker of that name may get tasks")
			require.Empty(t, h.LeavingWorkers(now), "a report from a peer is not passed on")
		})
	}
}
