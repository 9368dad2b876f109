// Package laddersettings holds what one process must know to start: its name,
// its place, its addresses and its keys.
//
// Settings are a YAML file on the entry VM, unlike the fleet's configuration,
// which lives in the platform's store (see ladderconfig).
//
// # Usage
//
//	settings, err := laddersettings.Parse("entry.yaml", data)
//	if err != nil {
//		return err // one finding on each line
//	}
package laddersettings
