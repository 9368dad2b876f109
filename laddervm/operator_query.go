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

// tellTime bounds a question of an operator to the leader.
const operatorQueryTimeout = 2 * time.Second

// tell answers an operator's question.
func (t *term) answerOperator(m laddermessage.Tell) laddermessage.Message {
	now := t.vm.clock.Now()
	var answer fmt.Stringer
	if m.Job == "" {
		answer = t.overview(now)
	} else {
		e, ok := t.planner.Explain(now, m.Job)
		if !ok {
			return laddermessage.Told{}
		}
		answer = e
	}
	if !m.JSON {
		return laddermessage.Told{Known: true, Text: answer.String()}
	}
	text, err := json.Marshal(answer)
	if err != nil {
		t.log.Error("answer can not be encoded", "err", err)
		return laddermessage.Told{}
	}
	return laddermessage.Told{Known: true, Text: string(text)}
}

// overview returns the state of the fleet, with who holds which worker.
func (t *term) overview(now time.Time) ladderplan.Overview {
	o := t.planner.Overview(now)
	for i := range o.Workers {
		o.Workers[i].Holder = t.vm.settings.Name
		if l := t.delegateOf(o.Workers[i].ID); l != nil {
			o.Workers[i].Holder = l.peer.name
		}
	}
	return o
}

// operators returns the handler for metrics and for operators' questions: GET /top
// and GET /explain/JOB, each with ?json=true for a machine's form.
func (v *VM) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		v.writeMetrics(w)
	})
	mux.HandleFunc("GET /top", v.serveOperatorQuery)
	mux.HandleFunc("GET /explain/{job}", v.serveOperatorQuery)
	return mux
}

func (v *VM) serveOperatorQuery(w http.ResponseWriter, r *http.Request) {
	m := laddermessage.Tell{Job: strings.ToLower(r.PathValue("job")), JSON: r.URL.Query().Get("json") == "true"}
	reply, ok := v.askLeader(r.Context(), m, operatorQueryTimeout)
	told, is := reply.(laddermessage.Told)
	switch {
	case !ok || !is:
		http.Error(w, "no leader answers now", http.StatusServiceUnavailable)
	case !told.Known:
		http.Error(w, "the leader knows no such job", http.StatusNotFound)
	default:
		// An operator that has left can't be told anything more.
		_, _ = fmt.Fprint(w, told.Text)
	}
}
