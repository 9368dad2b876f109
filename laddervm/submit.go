package laddervm

import (
	"context"
	"time"

	"lacewingladder/ladderaccess"
	"lacewingladder/ladderflow"
	"lacewingladder/ladderjournal"
	"lacewingladder/laddermessage"
)

const (
	// maxQueuedSubmissions bounds the jobs that wait to be stored. More jobs than that cannot
	// be stored before their callers' deadlines.
	maxQueuedSubmissions = 256
	// maxTransactions is how many transactions with new jobs may be in flight: while the
	// store is slow, one at a time would accept too few jobs.
	maxTransactions = 4
	// notifyTimeout bounds one attempt to notify the leader, and notifyAttempts the number of
	// attempts. If all of them fail, the change is passed to [lateNotices].
	notifyTimeout  = 500 * time.Millisecond
	notifyAttempts = 4
)

// jobWriter stores new jobs. Jobs that arrive together share a transaction.
type jobWriter struct {
	vm    *VM
	queue chan *pendingSubmission
}

// pendingSubmission is a submission whose outcome is awaited.
type pendingSubmission struct {
	ladderjournal.Submission
	done chan struct{}
}

func newJobWriter(v *VM) *jobWriter {
	return &jobWriter{vm: v, queue: make(chan *pendingSubmission, maxQueuedSubmissions)}
}

// run stores submissions until ctx ends.
func (w *jobWriter) run(ctx context.Context) {
	slots := make(chan struct{}, maxTransactions)
	for {
		select {
		case <-ctx.Done():
			return
		case slots <- struct{}{}:
		}
		select {
		case <-ctx.Done():
			return
		case first := <-w.queue:
			batch := w.gather(first)
			w.vm.wait.Go(func() {
				defer func() { <-slots }()
				w.store(ctx, batch)
			})
		}
	}
}

// gather returns a submission together with those that are queued behind it, up to the size
// of a transaction.
func (w *jobWriter) gather(first *pendingSubmission) []*pendingSubmission {
	batch := []*pendingSubmission{first}
	for len(batch) < ladderjournal.MaxSubmissions {
		select {
		case p := <-w.queue:
			batch = append(batch, p)
		default:
			return batch
		}
	}
	return batch
}

// store stores a batch. Submissions of the same job id go into separate transactions.
func (w *jobWriter) store(ctx context.Context, batch []*pendingSubmission) {
	for len(batch) > 0 {
		ids := map[string]bool{}
		var current []*ladderjournal.Submission
		var batched, later []*pendingSubmission
		for _, p := range batch {
			if ids[p.Job.ID] {
				later = append(later, p)
				continue
			}
			ids[p.Job.ID] = true
			current, batched = append(current, &p.Submission), append(batched, p)
		}
		w.vm.journal.Accept(ctx, current)
		for _, p := range batched {
			close(p.done)
		}
		batch = later
	}
}

// submit stores a job and returns the outcome. A submission whose outcome is unknown is
// repeated until ctx ends. The repetition either stores the job or finds it stored, because a
// job is written only if its key does not exist.
func (w *jobWriter) submit(ctx context.Context, job *ladderflow.Job, caller ladderaccess.Caller) (ladderjournal.Outcome, error) {
	unconfirmed := false
	for {
		p := &pendingSubmission{Submission: ladderjournal.Submission{Job: job, Caller: caller}, done: make(chan struct{})}
		select {
		case w.queue <- p:
		default:
			if unconfirmed {
				return ladderjournal.OutcomeUnknown, errQueueFull
			}
			return ladderjournal.Rejected, errQueueFull
		}
		select {
		case <-p.done:
		case <-ctx.Done():
			return ladderjournal.OutcomeUnknown, ctx.Err()
		}
		switch {
		case p.Outcome == ladderjournal.OutcomeUnknown, p.Outcome == ladderjournal.Rejected && unconfirmed:
			unconfirmed = true
		default:
			return p.Outcome, p.Err
		}
		select {
		case <-ctx.Done():
			return ladderjournal.OutcomeUnknown, p.Err
		case <-w.vm.clock.After(retryInterval):
		}
	}
}

// notifyLeader sends a message to the leader, and repeats it if that fails. The leader may get a
// message more than once.
func (v *VM) notifyLeader(m laddermessage.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyAttempts*notifyTimeout)
	defer cancel()
	for range notifyAttempts {
		if _, ok := v.callLeader(ctx, m, notifyTimeout); ok {
			return
		}
		select {
		case <-ctx.Done():
		case <-v.clock.After(retryInterval):
		}
	}
	v.log.Info("leader was not notified; it is told later, or finds the change in the store", "change", changeName(m))
	v.late.add(m)
}

// callLeader sends a message to the leader and returns the reply. It returns false if there is
// no leader or it did not answer.
func (v *VM) callLeader(ctx context.Context, m laddermessage.Message, timeout time.Duration) (laddermessage.Message, bool) {
	l, _ := v.registry.currentLeader()
	if l.revision == 0 {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reply laddermessage.Message
	var err error
	if l.incarnation == v.registry.incarnation {
		reply, err = peerHandler{v}.Handle(ctx, m)
	} else {
		p, ok := v.registry.find(l.name)
		if !ok {
			return nil, false
		}
		reply, err = v.registry.call(ctx, p, m)
	}
	if err != nil {
		v.log.Debug("leader did not answer", "leader", l.name, "err", err)
		return nil, false
	}
	_, notLeader := reply.(laddermessage.NotLeader)
	return reply, !notLeader
}

// peerHandler handles the messages of peers.
type peerHandler struct {
	vm *VM
}

// Handle implements [ladderpeer.Handler].
func (h peerHandler) Handle(ctx context.Context, m laddermessage.Message) (laddermessage.Message, error) {
	v := h.vm
	v.exchanges.count("in", m)
	switch m := m.(type) {
	case laddermessage.RelayCall:
		return v.relayCall(ctx, m), nil
	case laddermessage.StoreStatusQuery:
		return v.storeStatus(), nil
	case laddermessage.AdviceQuery:
		return v.queryAdvice(ctx, m), nil
	case laddermessage.FleetOffer:
		v.fleetFeed.receive(m)
		return laddermessage.Ack{}, nil
	case laddermessage.FleetFetch:
		return v.fleetFeed.state.reply(m.Have)
	case laddermessage.Delegation:
		if v.delegate.Apply(m) {
			return laddermessage.Ack{}, nil
		}
		return laddermessage.NotLeader{}, nil
	case laddermessage.DelegatePoll:
		if r, ok := v.delegate.Report(ctx, m); ok {
			return r, nil
		}
		return laddermessage.NotLeader{}, nil
	}
	t := v.leadership.current()
	if t == nil {
		return laddermessage.NotLeader{}, nil
	}
	return t.handleMessage(ctx, m)
}
