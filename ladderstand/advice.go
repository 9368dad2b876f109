package ladderstand

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// Advice is a stand-in for the advice service: it issues tickets, each of which
// allows one step on one worker. It answers one query at a time.
type Advice struct {
	// ResponseTime is the time to answer one query.
	ResponseTime time.Duration
	// TicketTTL is how long the tickets of an answer are valid.
	TicketTTL time.Duration
	// Allowed reports whether a worker may run a step. If it is nil, every worker may.
	Allowed func(step, worker string) bool
}

// Handler returns the HTTP interface of the service.
func (a *Advice) Handler() http.Handler {
	// The channel is full while a query is being answered.
	busy := make(chan struct{}, 1)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var query struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&query); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		busy <- struct{}{}
		time.Sleep(a.ResponseTime)
		<-busy
		tickets := [][2]string{}
		for _, id := range query.Workers {
			if a.Allowed == nil || a.Allowed(query.Step, id) {
				tickets = append(tickets, [2]string{id, "ticket-" + query.Step + "-" + id})
			}
		}
		writeJSON(w, struct {
			Allowed [][2]string `json:"allowed"`
			Valid   int64       `json:"validMs"`
		}{tickets, a.TicketTTL.Milliseconds()})
	})
}
