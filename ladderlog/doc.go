// Package ladderlog makes the loggers of a process's parts.
//
// Every part writes through a logger of its own, whose lines carry the part's
// name as a fixed prefix. Messages are short; what varies goes into keys and
// values.
//
// # Usage
//
//	logs := ladderlog.New(os.Stderr, "info")
//	gate := logs.Part("gate")
//	gate.Info("request refused", "member", member, "reason", reason)
package ladderlog
