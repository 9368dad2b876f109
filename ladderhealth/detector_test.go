package ladderhealth_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"lacewingladder/ladderhealth"
)

var start = time.Unix(1000, 0)

func TestWorkerThatFailsEverythingIsSuspect(t *testing.T) {
	var d ladderhealth.Detector
	for i := range 3 {
		require.False(t, d.Suspect("bad"))
		d.Ended(start, "bad", fmt.Sprint("job", i), true)
		d.Ended(start, "good", fmt.Sprint("job", i), false)
	}
	require.True(t, d.Suspect("bad"))
	require.False(t, d.Allows(start, "bad"))
}

func TestSuspectIsProbedByOneTask(t *testing.T) {
	var d ladderhealth.Detector
	for i := range 3 {
		d.Ended(start, "bad", fmt.Sprint("job", i), true)
	}
	due := start.Add(time.Minute)
	require.True(t, d.Allows(due, "bad"))
	d.Started(due, "bad")
	require.False(t, d.Allows(due, "bad"), "one probe at a time")
	d.Ended(due, "bad", "job9", false)
	require.False(t, d.Suspect("bad"))
}

func TestFaultySourceMakesNoWorkerSuspect(t *testing.T) {
	var d ladderhealth.Detector
	for round := range 10 {
		for w := range 8 {
			d.Ended(start.Add(time.Duration(round)*time.Second), fmt.Sprint("w", w), "faulty", true)
		}
	}
	require.True(t, d.FaultySource("faulty"))
	for w := range 8 {
		require.False(t, d.Suspect(fmt.Sprint("w", w)))
	}
}
