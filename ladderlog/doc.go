// Package ladderlog creates the loggers of a process.
//
// Each component of the process has its own logger, whose lines carry the component's
// name as the prefix. A message is a fixed, short text; everything that varies is logged
// as keys and values. [Loggers.RateLimited] returns a logger that limits the number of
// lines per second for each message, and an [AsyncWriter] keeps a slow reader of the log
// from blocking the process.
//
// # Usage
//
//	logs := ladderlog.New(os.Stderr, "info")
//	gate := logs.Component("gate")
//	gate.Info("request refused", "member", member, "reason", reason)
package ladderlog
