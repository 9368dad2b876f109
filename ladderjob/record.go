package ladderjob

import (
	"encoding/json"
	"fmt"
	"time"

	"lacewingladder/laddermodel"
)

// Record is a job with its progress, as the platform's store keeps it.
type Record struct {
	Job    Job
	State  State
	Reason string
	// StartedCount is the number of tasks that may have been started: those with an
	// index below it. No other task has been started.
	StartedCount int
	// Ended is a bitmap with a bit for each task, by index, that is set once the
	// task has ended. Missing bytes count as zero.
	Ended []byte
}

// MarkEnded records that the task with the given index has ended.
func (r *Record) MarkEnded(index int) {
	if need := index/8 + 1; len(r.Ended) < need {
		r.Ended = append(r.Ended, make([]byte, need-len(r.Ended))...)
	}
	r.Ended[index/8] |= 1 << (index % 8)
}

// HasEnded reports whether the task with the given index is recorded as ended.
func (r *Record) HasEnded(index int) bool {
	return index/8 < len(r.Ended) && r.Ended[index/8]&(1<<(index%8)) != 0
}

// storedRecord is the JSON form of a record. Cores is in thousandths of a core,
// Memory in bytes and Estimate in nanoseconds. Submitted is in nanoseconds since the
// Unix epoch.
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

// Encode returns the JSON form of a record.
func Encode(r Record) ([]byte, error) {
	j := r.Job
	return json.Marshal(storedRecord{
		ID: j.ID, Member: j.Member, Team: j.Team, Kind: j.Kind.String(), Slots: j.Size.Slots,
		Cores: j.Size.Millicores, Memory: j.Size.Memory, Accel: j.Size.Accelerators, Tasks: j.Tasks,
		Estimate: int64(j.Estimate), Body: j.Body, Submitted: j.Submitted.UnixNano(),
		State: string(r.State), Reason: r.Reason, Begun: r.StartedCount, Ended: r.Ended,
	})
}

// Decode parses the JSON form of a record.
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
		State: State(w.State), Reason: w.Reason, StartedCount: w.Begun, Ended: w.Ended,
	}, nil
}
