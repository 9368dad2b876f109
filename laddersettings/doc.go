// Package laddersettings parses and holds the settings with which an entry VM's
// process starts: its name, region and zone, its addresses, and the files of its
// certificate and keys.
//
// Settings are read from a YAML file on the entry VM. The configuration of the
// fleet, by contrast, is kept in the platform's store (see package ladderconfig).
//
// # Usage
//
//	settings, err := laddersettings.Parse("entry.yaml", data)
//	if err != nil {
//		return err // one finding on each line
//	}
package laddersettings
