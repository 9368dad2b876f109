// Package ladderfinding collects what is wrong with an input, with its place.
//
// A reader of settings, configuration or traces does not stop at the first
// mistake. It adds one [Finding] for each and hands back the [List], so that
// the author can mend all of them at once.
//
// # Usage
//
//	var list ladderfinding.List
//	list.Add(ladderfinding.Place{File: "fleet.yaml", Line: 4, Column: 3}, "zone %q is not listed", name)
//	return list.Err()
//
// [List.Err] is nil for an empty list, and otherwise an error whose text holds
// one finding on each line, in the order of their places.
package ladderfinding
