// Package ladderconfig holds the fleet's configuration: defaults that govern all
// of it, and a short list of exceptions that each carry a written reason.
//
// A configuration is a YAML document. [Parse] checks it and returns either a
// [Config] or all findings with their places. The defaults name the cell's zones
// and racks, its members, the classes of requests, the teams with their quotas,
// and the limits. An exception names one target, one setting and one value:
//
//	exceptions:
//	  - target: worker/taoyuan-a-r1-w3
//	    set: drain
//	    value: true
//	    reason: the fan is being replaced on Friday
//
// An accepted configuration is kept in the platform's store as a [Version]: the
// document with its number, the id of the change and who made it.
//
// # Usage
//
//	config, err := ladderconfig.Parse("fleet.yaml", data)
//	if err != nil {
//		return err // one finding on each line
//	}
//	class, ok := config.Class("fitcheck")
//
// A Config is never changed once it is parsed, and is safe for concurrent use.
package ladderconfig
