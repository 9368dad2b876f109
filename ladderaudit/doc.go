// Package ladderaudit holds the records of workers and callers against what the
// scheduler promises.
//
// It shares no code with the scheduler: it knows neither its types nor its rules,
// only the records in their written form and the promises. [Check] returns one
// [Violation] for each promise that a record shows broken.
//
// # Usage
//
//	events, err := ladderaudit.ReadEvents(recordsOfAllWorkers)
//	violations := ladderaudit.Check(ladderaudit.Evidence{
//		Events: events, Exchanges: exchanges, Sizes: sizes, Once: map[string]bool{"booking": true},
//	})
package ladderaudit
