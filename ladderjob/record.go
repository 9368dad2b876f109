package ladderjob

import (
	"encoding/json"
	"fmt"
	"time"

	"lacewingladder/laddermodel"
)

// Record is a job's durable form.
type Record struct {
	Job    Job
	State  State
	Reason string
	// Begun is the number of tasks, counted from index 0, that may have been
	// started.
	Begun int
	// Ended is a bitmap of the tasks that ended, by index.
	Ended []byte
}

// Mark records that a task ended.
func (r *Record) Mark(index int) {
	if need := index/8 + 1; len(r.Ended) < need {
		r.Ended = append(r.Ended, make([]byte, need-len(r.Ended))...)
	}
	r.Ended[index/8] |= 1 << (index % 8)
}

// Marked reports whether a task is recorded as ended.
func (r *Record) Marked(index int) bool {
	return index/8 < len(r.Ended) && r.Ended[index/8]&(1<<(index%8)) != 0
}

// storedRecord is a record in the store.
type storedRecord struct {
	ID        string `json:"id"`
	Member    string `json:"member"`
	Team      string `json:"team"`
	Kind      string `json:"kind"`
	Slots     int    `json:"slots"`
	Cores     int    `json:"cores,omitempty"`
	Memory    int64  `json:"memory,omitempty"`
	Accel     int    `json:"accel,omitempty"`
	Tasks     int    `json:"tasks"`
	Estimate  int64  `json:"estimate,omitempty"`
	Body      string `json:"body,omitempty"`
	Submitted int64  `json:"submitted"`
	State     string `json:"state"`
	Reason    string `json:"reason,omitempty"`
	Begun     int    `json:"begun,omitempty"`
	Ended     []byte `json:"ended,omitempty"`
}

// Encode returns a record in the form of the store.
func Encode(r Record) ([]byte, error) {
	j := r.Job
	return json.Marshal(storedRecord{
		ID: j.ID, Member: j.Member, Team: j.Team, Kind: j.Kind.String(), Slots: j.Size.Slots,
		Cores: j.Size.Millicores, Memory: j.Size.Memory, Accel: j.Size.Accelerators, Tasks: j.Tasks,
		Estimate: int64(j.Estimate), Body: j.Body, Submitted: j.Submitted.UnixNano(),
		State: string(r.State), Reason: r.Reason, Begun: r.Begun, Ended: r.Ended,
	})
}

// Decode reads a record in the form of the store.
func Decode(data []byte) (Record, error) {
	var w storedRecord
	if err := json.Unmarshal(data, &w); err != nil {
		return Record{}, fmt.Errorf("job record: %w", err)
	}
	kind, err := laddermodel.ParseKind(w.Kind)
	if err != nil {
		return Record{}, fmt.Errorf("job record %s: %w", w.ID, err)
	}
	return Record{
		Job: Job{
			ID: w.ID, Member: w.Member, Team: w.Team, Kind: kind, Tasks: w.Tasks,
			Size:     laddermodel.Size{Slots: w.Slots, Millicores: w.Cores, Memory: w.Memory, Accelerators: w.Accel},
			Estimate: time.Duration(w.Estimate), Body: w.Body, Submitted: time.Unix(0, w.Submitted),
		},
		State: State(w.State), Reason: w.Reason, Begun: w.Begun, Ended: w.Ended,
	}, nil
}
