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

	"lacewingladder/ladderflow"
	"lacewingladder/ladderjournal"
	"lacewingladder/laddermessage"
	"lacewingladder/platform"
)

const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// bodyBytes bounds a body while the configuration states no bound.
	defaultBodyBytes = 256 << 10
	// defaultDeadline is how long a caller waits who does not say so.
	defaultDeadline = 3 * time.Second
	// answerMargin is how long before a caller's deadline an answer must be on its way.
	answerMargin = 150 * time.Millisecond
	// lookTime bounds a question to the leader before the store is asked instead.
	leaderQueryTimeout = 300 * time.Millisecond
	// soonest is what Retry-After says while the store is out: it states whole
	// seconds, and a shorter outage is over by then.
	retryAfterSeconds = 1
)

var errQueueFull = errors.New("too many jobs wait to be stored")

// exchange is one request on its way through the filters.
type exchange struct {
	writer  http.ResponseWriter
	request *http.Request
	ctx     context.Context
	queue   *ladderflow.Queue
	fleet   *ladderflow.Fleet
	// rest is the path behind the queue's prefix.
	rest string
	body []byte
	sent int
}

// filter looks at an exchange. It is true when the next one is to go on with it.
type filter func(*exchange) bool

// gate returns the handler of callers' requests.
func (v *VM) callerHandler() http.Handler {
	filters := []filter{v.requireConfiguration, routeRequest, v.readBody, v.requireStore, v.serve}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), deadline(r))
		defer cancel()
		x := &exchange{writer: w, request: r, ctx: ctx}
		for _, f := range filters {
			if !f(x) {
				break
			}
		}
		if x.sent >= http.StatusBadRequest && x.sent != http.StatusGone {
			v.stats.refused.Inc()
			v.log.Info("request is refused", "method", r.Method, "path", r.URL.Path, "status", x.sent)
		}
	})
}

// deadline returns how long the gate may take for an answer.
func deadline(r *http.Request) time.Duration {
	d := defaultDeadline
	if ms, err := strconv.Atoi(r.Header.Get(platform.DeadlineHeader)); err == nil && ms > 0 {
		d = time.Duration(ms) * time.Millisecond
	}
	return max(d-answerMargin, d/2)
}

// answer sends an answer. It always is the exchange's only one.
func (x *exchange) answer(status int, body []byte) {
	x.sent = status
	x.writer.Header().Set("Content-Type", "application/json")
	x.writer.WriteHeader(status)
	// A caller that has left can't be told anything more.
	_, _ = x.writer.Write(body)
}

func (x *exchange) fail(status int, text string) {
	x.answer(status, platform.FormatError(text))
}

// later refuses a request that has had no effect, and says when to come back.
func (x *exchange) failRetryable(status int, after int, text string) {
	x.writer.Header().Set("Retry-After", strconv.Itoa(after))
	x.fail(status, text)
}

func (v *VM) requireConfiguration(x *exchange) bool {
	x.fleet = v.fleet.Load()
	if x.fleet == nil {
		x.failRetryable(http.StatusServiceUnavailable, retryAfterSeconds, "this VM has no configuration yet")
	}
	return x.fleet != nil
}

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
	x.queue, x.rest = q, strings.TrimPrefix(x.request.URL.Path, q.Prefix)
	return true
}

// bounded reads the body of a submission.
func (v *VM) readBody(x *exchange) bool {
	if x.request.Method != http.MethodPost {
		return true
	}
	limit := int64(x.fleet.Limits.BodyBytes)
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

// stored refuses what must be written while the store answers nothing.
func (v *VM) requireStore(x *exchange) bool {
	if x.request.Method != http.MethodGet && v.storeCarrier.unresponsive() {
		x.failRetryable(http.StatusServiceUnavailable, retryAfterSeconds, "the store does not answer now")
		return false
	}
	return true
}

// serve answers what the filters before let through.
func (v *VM) serve(x *exchange) bool {
	method := x.request.Method
	switch {
	case x.rest == "" && method == http.MethodGet:
		v.servePending(x)
	case !ladderflow.ValidID(x.rest):
		x.fail(http.StatusBadRequest, "the job's id is not 16 hexadecimal digits: "+x.rest)
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
	job.ID, job.Queue, job.Service, job.Accepted = x.rest, x.queue.Name, x.queue.Service, began
	if err := job.Check("body").Err(); err != nil {
		x.fail(http.StatusBadRequest, err.Error())
		return
	}
	outcome, err := v.writer.submit(x.ctx, &job)
	v.stats.acceptTime.UpdateDuration(began)
	v.log.Info("job is submitted", "job", job.ID, "queue", job.Queue, "outcome", outcome, "err", err,
		"took", v.clock.Now().Sub(began).Round(time.Millisecond))
	switch outcome {
	case ladderjournal.Stored, ladderjournal.Known:
		v.stats.accepted.Inc()
		if outcome == ladderjournal.Stored {
			v.notifyAccepted(&job)
		}
		x.answer(http.StatusOK, platform.FormatState(ladderflow.Queued))
	case ladderjournal.Overtaken:
		x.answer(http.StatusOK, platform.FormatState(ladderflow.Cancelled))
	case ladderjournal.Rejected:
		x.failRetryable(http.StatusServiceUnavailable, retryAfterSeconds, "the store takes no jobs now")
	default:
		// The job may be stored yet, so it must be neither confirmed nor denied.
		x.fail(http.StatusGatewayTimeout, "the store has not answered")
	}
}

// tellAccepted hands a stored job to the leader.
func (v *VM) notifyAccepted(job *ladderflow.Job) {
	body, err := ladderjournal.EncodeJob(job)
	if err != nil {
		v.log.Error("job can not be encoded", "job", job.ID, "err", err)
		return
	}
	v.wait.Go(func() { v.notifyLeader(laddermessage.Accepted{Job: job.ID, Body: body}) })
}

// serveState tells a job's state: the leader's view, or else the store's.
func (v *VM) serveState(x *exchange) {
	if state, ok := v.leaderState(x.ctx, laddermessage.StateOf{Job: x.rest}); ok {
		x.answer(http.StatusOK, platform.FormatState(state))
		return
	}
	if v.storeCarrier.unresponsive() {
		x.failRetryable(http.StatusServiceUnavailable, retryAfterSeconds, "the job's state is not known now")
		return
	}
	state, ok, err := v.journal.Lookup(x.ctx, x.rest)
	switch {
	case err != nil:
		x.failRetryable(http.StatusServiceUnavailable, retryAfterSeconds, "the job's state is not known now")
	case !ok:
		x.fail(http.StatusGone, "no such job")
	default:
		x.answer(http.StatusOK, platform.FormatState(state))
	}
}

func (v *VM) leaderState(ctx context.Context, m laddermessage.Message) (ladderflow.State, bool) {
	reply, ok := v.askLeader(ctx, m, leaderQueryTimeout)
	if s, is := reply.(laddermessage.StateIs); ok && is && s.Known {
		return ladderflow.State(s.State), true
	}
	return "", false
}

// serveCancel stores a cancellation, also of a job that has not arrived yet.
func (v *VM) serveCancel(x *exchange) {
	began := v.clock.Now()
	defer func() { v.stats.cancelTime.UpdateDuration(began) }()
	outcome, err := ladderjournal.Unsettled, error(nil)
	for x.ctx.Err() == nil {
		if outcome, err = v.journal.Cancel(x.ctx, x.rest); outcome != ladderjournal.Unsettled {
			break
		}
		select {
		case <-x.ctx.Done():
		case <-v.clock.After(retryInterval):
		}
	}
	v.log.Info("job is cancelled", "job", x.rest, "outcome", outcome, "err", err)
	switch outcome {
	case ladderjournal.Stored, ladderjournal.Known:
	case ladderjournal.Rejected:
		x.failRetryable(http.StatusServiceUnavailable, retryAfterSeconds, "the store takes no cancellations now")
		return
	default:
		x.fail(http.StatusGatewayTimeout, "the store has not answered")
		return
	}
	if state, ok := v.leaderState(x.ctx, laddermessage.Cancelled{Job: x.rest}); ok {
		x.answer(http.StatusOK, platform.FormatState(state))
		return
	}
	v.wait.Go(func() { v.notifyLeader(laddermessage.Cancelled{Job: x.rest}) })
	exists, err := v.journal.Exists(x.ctx, x.rest)
	if err == nil && !exists {
		x.fail(http.StatusGone, "no such job")
		return
	}
	x.answer(http.StatusOK, platform.FormatState(ladderflow.Cancelled))
}

// servePending tells how many jobs of a queue have not begun.
func (v *VM) servePending(x *exchange) {
	reply, ok := v.askLeader(x.ctx, laddermessage.Count{Queue: x.queue.Name}, leaderQueryTimeout)
	c, is := reply.(laddermessage.Counted)
	if !ok || !is {
		x.failRetryable(http.StatusServiceUnavailable, retryAfterSeconds, "the queue's length is not known now")
		return
	}
	x.answer(http.StatusOK, platform.FormatPending(c.Pending))
}
