package ladderstand

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Advice answers questions for tickets, one at a time, and allows all workers that
// allowed does not deny.
type Advice struct {
	// Takes is how long one answer takes, and Valid how long its tickets hold.
	Takes time.Duration
	Valid time.Duration
	// Allowed, if set, says whether a worker may run a step.
	Allowed func(step, worker string) bool
}

// Handler returns the service's HTTP interface.
func (a *Advice) Handler() http.Handler {
	turn := make(chan struct{}, 1)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var q struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&q); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		turn <- struct{}{}
		time.Sleep(a.Takes)
		<-turn
		rows := [][2]string{}
		for _, id := range q.Workers {
			if a.Allowed == nil || a.Allowed(q.Step, id) {
				rows = append(rows, [2]string{id, "ticket-" + q.Step + "-" + id})
			}
		}
		writeJSON(w, struct {
			Allowed [][2]string `json:"allowed"`
			Valid   int64       `json:"validMs"`
		}{rows, a.Valid.Milliseconds()})
	})
}
