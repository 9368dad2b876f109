// Package laddergate is the HTTP interface for callers.
//
// A request passes through a chain of filters. They identify the caller, read the
// body, check the headers and limit the number of open requests. A filter either
// lets the request pass or ends it with a [Refusal]. A request that passes all
// filters goes to the dispatcher. The dispatcher's answer is written either as a
// whole or not at all. The interface is described for callers in docs/API.md.
//
// # Usage
//
//	gate := laddergate.New(laddergate.Options{Requests: dispatcher, Jobs: jobs, Config: current})
//	http.Serve(listener, gate.Handler())
package laddergate
