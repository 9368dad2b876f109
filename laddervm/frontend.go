package laddervm

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lacewingladder/ladderaccess"
	"lacewingladder/ladderflow"
	"lacewingladder/ladderjournal"
	"lacewingladder/laddermessage"
	"lacewingladder/platform"
)

const (
	// headerTimeout, idleTimeout and maxHeaderBytes are the limits of the HTTP servers.
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// defaultBodyBytes bounds a request body if the configuration states no bound.
	defaultBodyBytes = 256 << 10
	// defaultDeadline is how long a caller is assumed to wait if the request states no deadline.
	defaultDeadline = 3 * time.Second
	// responseMargin is how long before a caller's deadline the response must be sent.
	responseMargin = 150 * time.Millisecond
	// leaderQueryTimeout bounds a query to the leader. After it the store is read instead.
	leaderQueryTimeout = 300 * time.Millisecond
	// retryAfterSeconds is the value of Retry-After while the store is unavailable. The header
	// states whole seconds, so this is the shortest wait; a shorter outage is over by then.
	retryAfterSeconds = 1
)

var errQueueFull = errors.New("too many jobs wait to be stored")

// exchange is one HTTP request and its response, as the filters process it.
type exchange struct {
	writer  http.ResponseWriter
	request *http.Request
	ctx     context.Context
	queue   *ladderflow.Queue
	fleet   *ladderflow.FleetConfig
	// caller is who makes the request.
	caller ladderaccess.Caller
	// jobID is the path after the queue's prefix, which should be a job's id or empty.
	jobID string
	body  []byte
	// status is the HTTP status of the response, or zero until it is sent.
	status int
}

// filter is a step in the processing of a request. It returns true if the next filter should
// continue, and false if it has sent the response.
type filter func(*exchange) bool

// callerHandler returns the handler of callers' requests.
func (v *VM) callerHandler() http.Handler {
	filters := []filter{v.requireConfiguration, routeRequest, v.authorize, v.readBody, v.requireStore, v.serve}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), processingTime(r))
		defer cancel()
		x := &exchange{writer: w, request: r, ctx: ctx}
		for _, f := range filters {
			if !f(x) {
				break
			}
		}
		if x.status >= http.StatusBadRequest && x.status != http.StatusGone {
			v.stats.refused.Inc()
			v.log.Info("request rejected", "method", r.Method, "path", r.URL.Path, "status", x.status)
		}
	})
}

// processingTime returns how long the processing of a request may take.
func processingTime(r *http.Request) time.Duration {
	d := defaultDeadline
	if ms, err := strconv.Atoi(r.Header.Get(platform.DeadlineHeader)); err == nil && ms > 0 {
		d = time.Duration(ms) * time.Millisecond
	}
	return max(d-responseMargin, d/2)
}

// respond sends the response. It is called once for each exchange.
func (x *exchange) respond(status int, body []byte) {
	x.status = status
	x.writer.Header().Set("Content-Type", "application/json")
	x.writer.WriteHeader(status)
	// The caller may have disconnected; there is nobody else to report the error to.
	_, _ = x.writer.Write(body)
}

// fail sends an error response.
func (x *exchange) fail(status int, text string) {
	x.respond(status, platform.FormatError(text))
}

// failRetryable rejects a request that has had no effect and states in Retry-After how
// many seconds to wait before a retry, as far as retrySeconds does not spread them.
func (x *exchange) failRetryable(status int, seconds int, text string) {
	x.retryAfter(x.retrySeconds(seconds))
	x.fail(status, text)
}

// requireConfiguration rejects requests until there is a configuration.
func (v *VM) requireConfiguration(x *exchange) bool {
	x.fleet = v.fleet.Load()
	if x.fleet == nil {
		x.failRetryable(http.StatusServiceUnavailable, retryAfterSeconds, "this VM has no configuration yet")
	}
	return x.fleet != nil
}

// routeRequest finds the queue for the request's host and path.
func routeRequest(x *exchange) bool {
	host := x.request.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	q, ok := x.fleet.Route(host, x.request.URL.Path)
	if !ok {
		x.fail(http.StatusNotFound, "no queue has this host and path")
		return false
	}
	x.queue, x.jobID = q, strings.TrimPrefix(x.request.URL.Path, q.Prefix)
	return true
}

// readBody reads the body of a submission, which must not exceed the configured size.
func (v *VM) readBody(x *exchange) bool {
	if x.request.Method != http.MethodPost {
		return true
	}
	limit := int64(x.fleet.Limits.MaxBodyBytes)
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.writer, x.request.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		x.fail(http.StatusRequestEntityTooLarge, "the body is larger than "+strconv.FormatInt(limit, 10)+" bytes")
		return false
	case err != nil:
		x.fail(http.StatusBadRequest, "the body can not be read: "+err.Error())
		return false
	}
	x.body = body
	return true
}

// requireStore rejects requests that write while the store is unresponsive.
func (v *VM) requireStore(x *exchange) bool {
	if x.request.Method != http.MethodGet && v.storeCarrier.unresponsive() {
		x.failRetryable(http.StatusServiceUnavailable, retryAfterSeconds, "the store does not answer now")
		return false
	}
	return true
}

// serve is the last filter. It dispatches the request by its method and path.
func (v *VM) serve(x *exchange) bool {
	method := x.request.Method
	switch {
	case x.jobID == "" && method == http.MethodGet:
		v.serveQueueLength(x)
	case !ladderflow.ValidID(x.jobID):
		x.fail(http.StatusBadRequest, "the job's id is not 16 hexadecimal digits: "+x.jobID)
	case method == http.MethodPost:
		v.serveSubmit(x)
	case method == http.MethodGet:
		v.serveState(x)
	case method == http.MethodDelete:
		v.serveCancel(x)
	default:
		x.fail(http.StatusMethodNotAllowed, "jobs take POST, GET and DELETE")
	}
	return false
}

// serveSubmit stores a job and confirms it.
func (v *VM) serveSubmit(x *exchange) {
	began := v.clock.Now()
	job, err := platform.ParseJob(x.body)
	if err != nil {
		x.fail(http.StatusBadRequest, err.Error())
		return
	}
	job.ID, job.Queue, job.Service, job.Rules, job.Accepted = x.jobID, x.queue.Name, x.queue.Service, x.queue, began
	job.Team = x.caller.JobTeam()
	if err := job.Check("body").Err(); err != nil {
		x.fail(http.StatusBadRequest, err.Error())
		return
	}
	if !v.fitsQuota(x, &job) {
		return
	}
	if !v.intake.admit(x, &job) {
		return
	}
	outcome, err := v.writer.submit(x.ctx, &job, x.caller)
	v.intake.settle(&job, outcome)
	v.stats.acceptTime.UpdateDuration(began)
	v.log.Info("job submission processed", "job", job.ID, "queue", job.Queue, "outcome", outcome, "err", err,
		"took", v.clock.Now().Sub(began).Round(time.Millisecond))
	switch outcome {
	case ladderjournal.Stored, ladderjournal.AlreadyStored:
		v.stats.accepted.Inc()
		if outcome == ladderjournal.Stored {
			v.notifyAccepted(&job)
		}
		x.respond(http.StatusOK, platform.FormatState(ladderflow.Queued))
	case ladderjournal.CancelledFirst:
		x.respond(http.StatusOK, platform.FormatState(ladderflow.Cancelled))
	case ladderjournal.OtherTeam:
		v.refuseForeign(x)
	case ladderjournal.Rejected:
		x.failRetryable(http.StatusServiceUnavailable, retryAfterSeconds, "the store takes no jobs now")
	default:
		// The write may still take effect, so the job must be neither confirmed nor rejected.
		x.fail(http.StatusGatewayTimeout, "the store has not answered")
	}
}

// notifyAccepted notifies the leader of a stored job.
func (v *VM) notifyAccepted(job *ladderflow.Job) {
	body, err := ladderjournal.EncodeJob(job)
	if err != nil {
		v.log.Error("job cannot be encoded; the leader will find it in the store", "job", job.ID, "err", err)
		return
	}
	v.wait.Go(func() { v.notifyLeader(laddermessage.JobAccepted{Job: job.ID, Body: body, Revision: job.Revision}) })
}

// serveState responds with a job's state: the one that the leader reports, or else the one in
// the store.
func (v *VM) serveState(x *exchange) {
	if s, ok := v.leaderState(x.ctx, laddermessage.JobStateQuery{Job: x.jobID}); ok {
		if v.mayUse(x, s.Team, s.Queue) {
			x.respond(http.StatusOK, platform.FormatState(ladderflow.State(s.State)))
		}
		return
	}
	if v.storeCarrier.unresponsive() {
		x.failRetryable(http.StatusServiceUnavailable, retryAfterSeconds, "the job's state is not known now")
		return
	}
	if !v.mayUseStored(x) {
		return
	}
	state, ok, err := v.journal.Lookup(x.ctx, x.jobID)
	switch {
	case err != nil:
		x.failRetryable(http.StatusServiceUnavailable, retryAfterSeconds, "the job's state is not known now")
	case !ok:
		x.fail(http.StatusGone, "no such job")
	default:
		x.respond(http.StatusOK, platform.FormatState(state))
	}
}

// leaderState sends a message to the leader and returns the job's state from the reply. It
// returns false if there is no leader that knows the job.
func (v *VM) leaderState(ctx context.Context, m laddermessage.Message) (laddermessage.JobState, bool) {
	reply, ok := v.callLeader(ctx, m, leaderQueryTimeout)
	s, valid := reply.(laddermessage.JobState)
	return s, ok && valid && s.Found
}

// serveCancel stores the cancellation of a job, even if the job has not arrived yet.
func (v *VM) serveCancel(x *exchange) {
	began := v.clock.Now()
	defer func() { v.stats.cancelTime.UpdateDuration(began) }()
	outcome, known, err := ladderjournal.OutcomeUnknown, false, error(nil)
	unconfirmed := false
	for x.ctx.Err() == nil {
		outcome, known, err = v.cancel(x)
		if outcome == ladderjournal.Rejected && unconfirmed {
			outcome = ladderjournal.OutcomeUnknown // An earlier attempt may have taken effect.
		}
		if outcome != ladderjournal.OutcomeUnknown {
			break
		}
		unconfirmed = true
		select {
		case <-x.ctx.Done():
		case <-v.clock.After(retryInterval):
		}
	}
	v.log.Info("job cancellation processed", "job", x.jobID, "outcome", outcome, "err", err)
	switch outcome {
	case ladderjournal.Stored, ladderjournal.AlreadyStored:
	case ladderjournal.OtherTeam:
		v.refuseForeign(x)
		return
	case ladderjournal.Rejected:
		x.failRetryable(http.StatusServiceUnavailable, retryAfterSeconds, "the store takes no cancellations now")
		return
	default:
		x.fail(http.StatusGatewayTimeout, "the store has not answered")
		return
	}
	if x.caller.KeysRequired && !known {
		// Whose the job will be is not known, so the leader is not told: it reads the cancellation with its team.
		x.fail(http.StatusGone, "no such job")
		return
	}
	if s, ok := v.leaderState(x.ctx, laddermessage.JobCancelled{Job: x.jobID}); ok {
		x.respond(http.StatusOK, platform.FormatState(ladderflow.State(s.State)))
		return
	}
	v.wait.Go(func() { v.notifyLeader(laddermessage.JobCancelled{Job: x.jobID}) })
	if !known {
		exists, err := v.journal.Exists(x.ctx, x.jobID)
		if err == nil && !exists {
			x.fail(http.StatusGone, "no such job")
			return
		}
	}
	x.respond(http.StatusOK, platform.FormatState(ladderflow.Cancelled))
}

// serveQueueLength responds with the number of jobs of a queue that have not started.
func (v *VM) serveQueueLength(x *exchange) {
	reply, ok := v.callLeader(x.ctx, laddermessage.QueueLengthQuery{Queue: x.queue.Name}, leaderQueryTimeout)
	length, valid := reply.(laddermessage.QueueLength)
	if !ok || !valid {
		x.failRetryable(http.StatusServiceUnavailable, retryAfterSeconds, "the queue's length is not known now")
		return
	}
	x.respond(http.StatusOK, platform.FormatPending(length.Pending))
}
