// Package ladderaccess decides which callers may use which queues and jobs, by their keys.
//
// A call on a queue that is not public needs the key of a team, once the configuration has teams. A job belongs
// to the team whose key its submission carried, and calls on the job need a key of that team. Keys are looked up
// by their hash, so that neither the time that a lookup takes nor anything that is logged reveals a key.
//
// The package opens no connection, reads no clock and keeps no state. Its decisions hold for the configuration
// that it is given.
//
// # Usage
//
//	caller, refusal := ladderaccess.Authorize(fleet, queue, request.Header.Values("Authorization"))
//	if refusal != nil {
//		// Answer 401 with refusal.Challenge and refusal.Text.
//	}
//	job.Team = caller.JobTeam()
//	...
//	if !caller.MayUse(job.Team, job.Queue) {
//		// Answer 403.
//	}
package ladderaccess
