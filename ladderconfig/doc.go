// Package ladderconfig parses and holds the configuration of a fleet: defaults
// for the whole fleet, and a short list of exceptions, each with a written reason.
//
// A configuration is a YAML document. [Parse] checks it and returns either a
// [Config] or an error that lists every finding with its place in the document.
// The defaults name the fleet's zones and racks, its members, the classes of
// requests, the teams with their quotas, and the limits. An exception names one
// target, one setting and one value:
//
//	exceptions:
//	  - target: worker/taoyuan-a-r1-w3
//	    set: drain
//	    value: true
//	    reason: the fan is being replaced on Friday
//
// An accepted configuration is kept in the platform's store as a [Version]: the
// document with its version number, the ID of the change and the name of the
// operator who applied it.
//
// # Usage
//
//	config, err := ladderconfig.Parse("fleet.yaml", data)
//	if err != nil {
//		return err // one finding on each line
//	}
//	class, ok := config.Class("fitcheck")
//
// A Config is not modified after it has been parsed, and is safe for concurrent
// use.
package ladderconfig
