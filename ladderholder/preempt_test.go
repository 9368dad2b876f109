package ladderholder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderattempt"
	"lacewingladder/ladderholder"
	"lacewingladder/ladderlog"
	"lacewingladder/laddermodel"
)

// fillWithBatch reserves the given number of slots for batch tasks of one slot.
func fillWithBatch(t *testing.T, h *ladderholder.Holder, now time.Time, slots int) {
	t.Helper()
	for i := range slots {
		_, err := h.Reserve(now, ladderholder.CapacityRequest{
			Task: fmt.Sprintf("j/%d/1", i), Source: "j", Kind: laddermodel.Batch,
			Size: laddermodel.Size{Slots: 1}, Policy: "pack",
		})
		require.NoError(t, err)
	}
}

func TestPreemption(t *testing.T) {
	tests := map[string]struct {
		state  ladderattempt.State
		served bool
		ends   int
	}{
		"stopped":         {state: ladderattempt.Stopped, served: true, ends: 1},
		"ended by itself": {state: ladderattempt.Ended},
		"does not answer": {state: ladderattempt.Unreachable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h, now := newClaimedHolder(2, ladderlog.Discard().Component("holder"))
			fillWithBatch(t, h, now, 16)
			_, waiter, err := h.ReserveOrWait(now, ladderholder.CapacityRequest{
				Task: "urgent", Source: "c", Size: laddermodel.Size{Slots: 1}, Policy: "spread", MaxWait: time.Second,
			})
			require.NoError(t, err)
			require.NotNil(t, waiter)
			victim := <-h.Victims()
			h.VictimStopped(now, victim, tt.state)
			ends, _ := h.FinishedSince(now, 0)
			require.Len(t, ends, tt.ends, "only a stopped task has to be started again")
			require.Equal(t, tt.served, len(waiter.Reservation) == 1)
		})
	}
}

func TestThrottleComesBeforeStop(t *testing.T) {
	tests := map[string]struct {
		batch    int
		throttle bool
	}{
		"only processor time is missing": {batch: 4, throttle: true},
		"slots are missing as well":      {batch: 8},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h, now := newClaimedHolder(1, ladderlog.Discard().Component("holder"))
			for i := range tt.batch {
				_, err := h.Reserve(now, ladderholder.CapacityRequest{
					Task: fmt.Sprintf("j/%d/1", i), Kind: laddermodel.Batch, Policy: "pack",
					Size: laddermodel.Size{Slots: 1, Millicores: 32_000 / tt.batch},
				})
				require.NoError(t, err)
			}
			_, waiter, err := h.ReserveOrWait(now, ladderholder.CapacityRequest{
				Task: "urgent", Size: laddermodel.Size{Slots: 1, Millicores: 2000}, Policy: "spread", MaxWait: time.Second,
			})
			require.NoError(t, err)
			v := <-h.Victims()
			require.Equal(t, tt.throttle, v.Millicores > 0)
			if tt.throttle {
				require.Empty(t, waiter.Reservation, "no reservation before the worker has confirmed the throttling")
				h.VictimThrottled(now, v, true)
				require.Len(t, waiter.Reservation, 1)
			}
		})
	}
}
