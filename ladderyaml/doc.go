// Package ladderyaml reads YAML by hand and keeps the place of every value.
//
// A [Reader] walks a document key by key. Whatever it can not accept (a wrong
// type, a wrong unit, a key that nobody asked for, a key given twice) becomes a
// finding with its line and column, and reading goes on with a zero value.
//
// # Usage
//
//	root := ladderyaml.Parse("fleet.yaml", data)
//	lease := root.Key("claim").Key("lease").Duration(3 * time.Second)
//	for _, zone := range root.Key("zones").Items() {
//		name := zone.Key("name").Text()
//	}
//	root.Done()
//	return root.Findings().Err()
//
// [Reader.Done] reports the keys that were never read, and so must come last.
package ladderyaml
