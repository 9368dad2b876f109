// Package ladderaudit checks the records of workers and callers against the
// guarantees of the scheduler.
//
// It shares no code with the scheduler and uses none of its types or rules. It
// knows only the guarantees and the format of the records. [Check] returns a
// [Violation] for each breach of a guarantee that the records show.
//
// # Usage
//
//	events, err := ladderaudit.ReadEvents(recordsOfAllWorkers)
//	violations := ladderaudit.Check(ladderaudit.Evidence{
//		Events: events, Exchanges: exchanges, Sizes: sizes, RunOnceClasses: map[string]bool{"booking": true},
//	})
package ladderaudit
