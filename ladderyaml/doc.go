// Package ladderyaml reads the values of a YAML document one by one and reports
// mistakes with their line and column.
//
// A [Reader] gives access to one value of a document. A mistake (a wrong type, a
// wrong unit, an unknown key, a duplicate key) becomes a finding with its place, and
// reading continues with a default value, so that one pass over a document finds
// all mistakes.
//
// # Usage
//
//	root := ladderyaml.Parse("fleet.yaml", data)
//	lease := root.Key("lease").Duration(3 * time.Second)
//	for _, item := range root.Key("zones").Items() {
//		zones = append(zones, item.RequiredKey("name").Text())
//		item.CheckUnknownKeys()
//	}
//	root.CheckUnknownKeys()
//	return root.Findings().Err()
//
// [Reader.CheckUnknownKeys] adds a finding for each key of one mapping that has not
// been read; nested mappings need calls of their own. Call it after all known keys
// have been read.
package ladderyaml
