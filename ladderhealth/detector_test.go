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
	var j ladderhealth.Detector
	for i := range 3 {
		require.False(t, j.Suspect("bad"))
		j.Ended(start, "bad", fmt.Sprint("job", i), true)
		j.Ended(start, "good", fmt.Sprint("job", i), false)
	}
	require.True(t, j.Suspect("bad"))
	require.False(t, j.Allows(start, "bad"))
}

func TestSuspectIsProbedByOneTask(t *testing.T) {
	var j ladderhealth.Detector
	for i := range 3 {
		j.Ended(start, "bad", fmt.Sprint("job", i), true)
	}
	due := start.Add(time.Minute)
	require.True(t, j.Allows(due, "bad"))
	j.Started(due, "bad")
	require.False(t, j.Allows(due, "bad"), "one probe at a time")
	j.Ended(due, "bad", "job9", false)
	require.False(t, j.Suspect("bad"))
}

func TestPoisonousJobBlamesNoWorker(t *testing.T) {
	var j ladderhealth.Detector
	for round := range 10 {
		for w := range 8 {
			j.Ended(start.Add(time.Duration(round)*time.Second), fmt.Sprint("w", w), "poison", true)
		}
	}
	require.True(t, j.FaultySource("poison"))
	for w := range 8 {
		require.False(t, j.Suspect(fmt.Sprint("w", w)))
	}
}
