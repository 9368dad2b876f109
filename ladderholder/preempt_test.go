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

// fillWithBatch gives every slot of a holder's workers to a batch task.
func fillWithBatch(t *testing.T, h *ladderholder.Holder, now time.Time, slots int) {
	t.Helper()
	for i := range slots {
		_, err := h.Reserve(now, ladderholder.Ask{
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
			h, now := newHolder(2, ladderlog.Discard().Part("holder"))
			fillWithBatch(t, h, now, 16)
			_, waiter, err := h.Await(now, ladderholder.Ask{
				Task: "urgent", Source: "c", Size: laddermodel.Size{Slots: 1}, Policy: "spread", Patience: time.Second,
			})
			require.NoError(t, err)
			require.NotNil(t, waiter)
			victim := <-h.Victims()
			h.Stopped(now, victim, tt.state)
			ends, _ := h.Finished(now, 0)
			require.Len(t, ends, tt.ends, "only a stopped task is to be started again")
			require.Equal(t, tt.served, len(waiter.Room) == 1)
		})
	}
}
