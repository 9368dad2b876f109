package laddervm

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"lacewingladder/laddermessage"
	"lacewingladder/ladderplan"
)

// operatorQueryTimeout bounds an operator's query to the leader.
const operatorQueryTimeout = 2 * time.Second

// answerOperator answers an operator's query: the explanation of a job, or without a job an
// overview of the fleet.
func (t *term) answerOperator(m laddermessage.OperatorQuery) laddermessage.Message {
	now := t.vm.clock.Now()
	var answer fmt.Stringer
	if m.Job == "" {
		answer = t.overview(now)
	} else {
		e, ok := t.planner.Explain(now, m.Job)
		if !ok {
			return laddermessage.OperatorReply{}
		}
		answer = e
	}
	if !m.JSON {
		return laddermessage.OperatorReply{Found: true, Text: answer.String()}
	}
	text, err := json.Marshal(answer)
	if err != nil {
		t.log.Error("answer to an operator cannot be encoded", "err", err)
		return laddermessage.OperatorReply{}
	}
	return laddermessage.OperatorReply{Found: true, Text: string(text)}
}

// overview returns the state of the fleet, including which VM polls each worker.
func (t *term) overview(now time.Time) ladderplan.Overview {
	o := t.planner.Overview(now)
	for i := range o.Workers {
		o.Workers[i].Holder = t.vm.settings.Name
		if c := t.delegateOf(o.Workers[i].ID); c != nil {
			o.Workers[i].Holder = c.peer.name
		}
	}
	return o
}

// operatorHandler returns the handler for metrics and for operators' queries, GET /top and
// GET /explain/JOB. With ?json=true the answer to a query is JSON.
func (v *VM) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		v.writeMetrics(w)
	})
	mux.HandleFunc("GET /top", v.serveOperatorQuery)
	mux.HandleFunc("GET /explain/{job}", v.serveOperatorQuery)
	return mux
}

// serveOperatorQuery passes an operator's query to the leader.
func (v *VM) serveOperatorQuery(w http.ResponseWriter, r *http.Request) {
	m := laddermessage.OperatorQuery{Job: strings.ToLower(r.PathValue("job")), JSON: r.URL.Query().Get("json") == "true"}
	reply, ok := v.callLeader(r.Context(), m, operatorQueryTimeout)
	answer, valid := reply.(laddermessage.OperatorReply)
	switch {
	case !ok || !valid:
		http.Error(w, "no leader answers now", http.StatusServiceUnavailable)
	case !answer.Found:
		http.Error(w, "the leader knows no such job", http.StatusNotFound)
	default:
		// The operator may have disconnected; there is nobody else to report the error to.
		_, _ = fmt.Fprint(w, answer.Text)
	}
}
