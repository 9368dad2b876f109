package laddervm

import (
	"context"
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderjournal"
	"lacewingladder/laddermessage"
)

const (
	// submissions bounds the jobs that wait to be stored. More than that can't be
	// stored before their callers give up.
	maxQueuedSubmissions = 256
	// writers is how many transactions of new jobs may be under way at once: while
	// the store is slow, one after the other would take too few.
	maxTransactions = 4
	// noticeTime bounds the telling of the leader, and noticeTries its tries; the
	// leader finds what it was not told of in the store.
	notifyTimeout  = 500 * time.Millisecond
	notifyAttempts = 4
)

// writer stores new jobs, those that arrive together in one transaction.
type jobWriter struct {
	vm    *VM
	queue chan *pending
}

// pending is a submission that waits for its outcome.
type pending struct {
	ladderjournal.Submission
	done chan struct{}
}

func newJobWriter(v *VM) *jobWriter {
	return &jobWriter{vm: v, queue: make(chan *pending, maxQueuedSubmissions)}
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

// gather returns a submission together with those that wait behind it.
func (w *jobWriter) gather(first *pending) []*pending {
	batch := []*pending{first}
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

// store writes a batch. Two submissions of one id do not share a transaction.
func (w *jobWriter) store(ctx context.Context, batch []*pending) {
	for len(batch) > 0 {
		ids := map[string]bool{}
		var now []*ladderjournal.Submission
		var taken, later []*pending
		for _, p := range batch {
			if ids[p.Job.ID] {
				later = append(later, p)
				continue
			}
			ids[p.Job.ID] = true
			now, taken = append(now, &p.Submission), append(taken, p)
		}
		w.vm.journal.Accept(ctx, now)
		for _, p := range taken {
			close(p.done)
		}
		batch = later
	}
}

// submit stores a job and returns what became of it. A job whose fate is not known
// is tried again until ctx ends: its repetition either stores it or finds it.
func (w *jobWriter) submit(ctx context.Context, job *ladderflow.Job) (ladderjournal.Outcome, error) {
	unsettled := false
	for {
		p := &pending{Submission: ladderjournal.Submission{Job: job}, done: make(chan struct{})}
		select {
		case w.queue <- p:
		default:
			if unsettled {
				return ladderjournal.Unsettled, errQueueFull
			}
			return ladderjournal.Rejected, errQueueFull
		}
		select {
		case <-p.done:
		case <-ctx.Done():
			return ladderjournal.Unsettled, ctx.Err()
		}
		switch {
		case p.Outcome == ladderjournal.Unsettled, p.Outcome == ladderjournal.Rejected && unsettled:
			unsettled = true
		default:
			return p.Outcome, p.Err
		}
		select {
		case <-ctx.Done():
			return ladderjournal.Unsettled, p.Err
		case <-w.vm.clock.After(retryInterval):
		}
	}
}

// tell brings a message to the leader, with some tries.
func (v *VM) notifyLeader(m laddermessage.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyAttempts*notifyTimeout)
	defer cancel()
	for range notifyAttempts {
		if _, ok := v.askLeader(ctx, m, notifyTimeout); ok {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-v.clock.After(retryInterval):
		}
	}
	v.log.Info("leader was not told; it will find this in the store", "message", m)
}

// askLeader puts a message to the leader. It is false when nobody that leads answered.
func (v *VM) askLeader(ctx context.Context, m laddermessage.Message, within time.Duration) (laddermessage.Message, bool) {
	l, _ := v.registry.currentLeader()
	if l.revision == 0 {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var reply laddermessage.Message
	var err error
	if l.incarnation == v.registry.incarnation {
		reply, err = handler{v}.Handle(ctx, m)
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
	_, not := reply.(laddermessage.NotLeading)
	return reply, !not
}

// handler answers the messages of peers.
type handler struct {
	vm *VM
}

// Handle implements ladderpeer.Handler.
func (h handler) Handle(ctx context.Context, m laddermessage.Message) (laddermessage.Message, error) {
	v := h.vm
	switch m := m.(type) {
	case laddermessage.Carry:
		return v.carryForPeer(ctx, m), nil
	case laddermessage.Consult:
		return v.consult(ctx, m), nil
	case laddermessage.Errands:
		if v.delegate.Errands(m) {
			return laddermessage.Done{}, nil
		}
		return laddermessage.NotLeading{}, nil
	case laddermessage.Inquire:
		if r, ok := v.delegate.Inquire(ctx, m); ok {
			return r, nil
		}
		return laddermessage.NotLeading{}, nil
	}
	t := v.leadership.current()
	if t == nil {
		return laddermessage.NotLeading{}, nil
	}
	return t.answer(ctx, m)
}
