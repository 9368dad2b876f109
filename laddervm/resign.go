package laddervm

import (
	"context"
	"errors"
	"time"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderplan"
)

const (
	// resignTimeout bounds a resignation. It has three phases, whose ends are counted from its beginning: orders under
	// way are answered until resignOrderTime, the stops of incomplete gangs until resignStopTime, and the final
	// batch is stored until resignSaveTime. The rest is for the deletion of the leader's key.
	resignTimeout   = time.Second
	resignOrderTime = resignTimeout / 2
	resignStopTime  = resignTimeout * 13 / 20
	resignSaveTime  = resignTimeout * 9 / 10
	// resignInterval is the time between checks whether orders are answered, or whether the previous batch
	// is stored.
	resignInterval = 10 * time.Millisecond
)

// errBatchNotBegun means that the final batch was not begun in time.
var errBatchNotBegun = errors.New("the batch before it is still being stored, or the leader is late")

// orderCounts counts orders that are not answered yet.
type orderCounts struct{ starts, stops int }

func (c orderCounts) total() int { return c.starts + c.stops }

// unanswered returns how many starts and stops are not answered yet, with those that delegates carry out or
// have not been sent yet.
func (t *term) unanswered() orderCounts {
	n := t.ownOrders
	for _, c := range t.delegates {
		for o := range c.pending {
			if o.stop {
				n.stops++
			} else {
				n.starts++
			}
		}
	}
	return n
}

// resign gives up the leadership, so that another VM can be elected at once. It first waits for the orders
// that are under way and stores what has changed. Only the first call for a term has an effect.
func (l *leadership) resign() {
	t := l.current()
	if t == nil || !t.resignBegan.CompareAndSwap(false, true) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	t.finish(ctx)
	l.endTerm(t, "this VM resigned")
	l.deleteKey(ctx, t.fence)
}

// finish places nothing more, and waits for the orders under way and the final batch. It does so at most until
// resignSaveTime.
func (t *term) finish(ctx context.Context) {
	began := t.vm.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, resignSaveTime)
	defer cancel()
	underWay, ok := callFor(ctx, t, func() orderCounts {
		t.resigning = true
		n := t.unanswered()
		t.log.Info("leader resigns; it places nothing more", "fence", t.fence, "loaded", t.loaded, "starts", n.starts, "stops", n.stops)
		return n
	})
	if !ok {
		t.log.Warn("leader is too late to resign in order; orders under way are cut off", "fence", t.fence, "inbox", len(t.inbox))
		return
	}
	if loaded, ok := callFor(ctx, t, func() bool { return t.loaded }); !ok || !loaded {
		return // Nothing has been ordered.
	}
	left := t.awaitOrders(ctx, underWay, resignOrderTime-t.vm.clock.Now().Sub(began))
	gangs, _ := callFor(ctx, t, t.stopIncompleteGangs)
	unstopped := t.awaitOrders(ctx, left, resignStopTime-t.vm.clock.Now().Sub(began))
	t.endPolls(ctx)
	err := t.saveFinal(ctx)
	t.log.Info("leader has resigned", "fence", t.fence, "starts", underWay.starts, "stops", underWay.stops,
		"unansweredStarts", left.starts, "unansweredStops", left.stops, "gangsStopped", gangs, "gangStopsUnanswered", unstopped.stops,
		"stored", err == nil, "took", t.vm.clock.Now().Sub(began).Round(time.Millisecond))
}

// callFor runs a function on the control goroutine and returns its result. It returns false if the term or ctx
// ends first; the function may run later.
func callFor[T any](ctx context.Context, t *term, f func() T) (T, bool) {
	result := make(chan T, 1)
	t.call(ctx, func() { result <- f() })
	select {
	case r := <-result:
		return r, true
	default:
		var none T
		return none, false
	}
}

// stopIncompleteGangs stops the gangs of which not all members are known to run. It returns how many there are.
func (t *term) stopIncompleteGangs() int {
	t.plan()
	t.planner.StopIncompleteGangs(t.vm.clock.Now())
	gangs := map[ladderflow.StepRef]bool{}
	for _, s := range t.plan().Stops {
		gangs[ladderflow.StepRef{Job: s.Run.Task.Job, Round: s.Run.Task.Round, Step: s.Run.Task.Step}] = true
	}
	return len(gangs)
}

// awaitOrders waits until all starts and stops are answered, for at most the given time, and returns how many
// are not. Before that, left are not.
func (t *term) awaitOrders(ctx context.Context, left orderCounts, timeout time.Duration) orderCounts {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		n, ok := callFor(ctx, t, func() orderCounts {
			t.plan() // An answer may have led to more orders.
			return t.unanswered()
		})
		if !ok {
			return left
		}
		if left = n; left.total() == 0 {
			return left
		}
		select {
		case <-t.vm.clock.After(resignInterval):
		case <-ctx.Done():
		}
	}
}

// endPolls ends the polls that the leader makes itself, and waits for the reports that have arrived. An
// end that is reported after the last batch would be lost if its worker left before the next
// leader's first poll.
func (t *term) endPolls(ctx context.Context) {
	ok := t.call(ctx, func() {
		t.pollsEnded = true
		for _, p := range t.pollers {
			p.cancel()
		}
	})
	if !ok {
		return
	}
	ended := make(chan struct{})
	go func() { t.polls.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// saveFinal stores the remaining changes once the batch before them is stored, and waits for that.
func (t *term) saveFinal(ctx context.Context) error {
	err := t.commitFinal(ctx)
	if err != nil {
		t.log.Warn("storing progress before the handover failed", "fence", t.fence, "err", err)
	}
	return err
}

func (t *term) commitFinal(ctx context.Context) error {
	for {
		b, ok := callFor(ctx, t, t.finalBatch)
		switch {
		case !ok:
			return errBatchNotBegun
		case b != nil && b.Empty():
			return nil
		case b != nil:
			_, err := t.commit(ctx, b)
			return err
		}
		select {
		case <-t.vm.clock.After(resignInterval):
		case <-ctx.Done():
		}
	}
}

// finalBatch returns the final batch, or nil while another one is being stored. No other batch is begun from then on.
func (t *term) finalBatch() *ladderplan.Batch {
	t.saver.finalDue = true
	if t.saver.busy && !t.saver.scheduled {
		return nil
	}
	t.saver.busy, t.saver.scheduled = true, false
	return t.planner.NextBatch()
}
