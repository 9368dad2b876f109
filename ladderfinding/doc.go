// Package ladderfinding collects the mistakes in an input, each with its place.
//
// A parser of settings, configuration or traces does not stop at the first
// mistake. It adds one [Finding] to a [List] for each mistake, so that the author
// of the input can correct all of them at once.
//
// # Usage
//
//	var list ladderfinding.List
//	list.Add(ladderfinding.Place{File: "fleet.yaml", Line: 4, Column: 3}, "zone %q is not listed", name)
//	return list.Err()
//
// [List.Err] returns nil for an empty list, and otherwise an error whose text has
// one finding on each line, in the order of their places.
package ladderfinding
