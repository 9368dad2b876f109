// Package laddergate is the callers' interface over HTTP.
//
// A request passes through a chain of filters: who is the caller, is the request
// within bounds, is it complete, may it enter. Each filter either lets it pass
// or ends it with a [Refusal]. What passes goes to the dispatcher, and the
// dispatcher's answer is written whole or not at all. The interface is described
// for callers in docs/API.md.
//
// # Usage
//
//	gate := laddergate.New(laddergate.Options{Requests: dispatcher, Jobs: jobs, Config: current})
//	http.Serve(listener, gate.Handler())
package laddergate
