package laddergate

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"lacewingladder/ladderjob"
	"lacewingladder/laddermodel"
)

// The methods of [Jobs] return these errors, or an [ImpossibleJobError].
var (
	// ErrJobNotFound means that the job does not exist.
	ErrJobNotFound = errors.New("there is no such job")
	// ErrStoreUnreachable means that the platform's store cannot be reached.
	ErrStoreUnreachable = errors.New("the platform's store can not be reached")
	// ErrUnconfirmed means that the store did not confirm a write, which may have
	// taken effect.
	ErrUnconfirmed = errors.New("the platform's store did not answer; the write may have taken effect")
)

// ImpossibleJobError is the error for a job that can never run.
type ImpossibleJobError struct {
	Reason string
}

// Error returns the reason.
func (e *ImpossibleJobError) Error() string { return "the job can never run: " + e.Reason }

// storeRetryAfter is the Retry-After while the platform's store does not
// answer.
const storeRetryAfter = 5 * time.Second

// jobJSON is the JSON form of a job for callers.
type jobJSON struct {
	ID       string `json:"id"`
	Member   string `json:"member"`
	Team     string `json:"team"`
	Kind     string `json:"kind"`
	Tasks    int    `json:"tasks"`
	State    string `json:"state"`
	Reason   string `json:"reason,omitempty"`
	Running  int    `json:"running"`
	Ended    int    `json:"ended"`
	Accepted string `json:"accepted"`
}

// submitJob stores a job that belongs to the caller's member.
func (g *Gate) submitJob(x *exchange) *Refusal {
	job, err := ladderjob.Parse("job", x.body)
	if err != nil {
		return refuse(http.StatusBadRequest, "%v", err)
	}
	if job.Member != x.member {
		return refuse(http.StatusForbidden, "member: the job is of %q and the caller of %q", job.Member, x.member)
	}
	job.Submitted = g.Clock.Now()
	id, err := g.Jobs.Submit(x.httpRequest.Context(), job, x.httpRequest.Header.Get(HeaderKey))
	if err != nil {
		return refusalFromJobError(err)
	}
	x.writer.Header().Set("Location", "/v1/jobs/"+id)
	x.writeJSON(http.StatusAccepted, jobJSON{
		ID: id, Member: job.Member, Team: job.Team, Kind: job.Kind.String(), Tasks: job.Tasks,
		State: string(ladderjob.Queued), Accepted: job.Submitted.UTC().Format(time.RFC3339Nano),
	})
	return nil
}

// viewJob writes the state of a job that belongs to the caller's member.
func (g *Gate) viewJob(x *exchange) *Refusal {
	v, err := g.Jobs.View(x.httpRequest.Context(), x.httpRequest.PathValue("id"))
	if err == nil && v.Job.Member != x.member {
		err = ErrJobNotFound
	}
	if err != nil {
		return refusalFromJobError(err)
	}
	x.writeJSON(http.StatusOK, jobJSON{
		ID: v.Job.ID, Member: v.Job.Member, Team: v.Job.Team, Kind: v.Job.Kind.String(), Tasks: v.Job.Tasks,
		State: string(v.State), Reason: v.Reason, Running: v.Running, Ended: v.Ended,
		Accepted: v.Job.Submitted.UTC().Format(time.RFC3339Nano),
	})
	return nil
}

// cancelJob ends a job of the caller's member.
func (g *Gate) cancelJob(x *exchange) *Refusal {
	if err := g.Jobs.Cancel(x.httpRequest.Context(), x.member, x.httpRequest.PathValue("id")); err != nil {
		return refusalFromJobError(err)
	}
	x.writeBody(http.StatusAccepted, "text/plain; charset=utf-8", []byte("the job will end\n"))
	return nil
}

// refusalFromJobError returns the refusal for an error of [Jobs].
func refusalFromJobError(err error) *Refusal {
	var impossible *ImpossibleJobError
	switch {
	case errors.As(err, &impossible):
		return refuse(http.StatusUnprocessableEntity, "%v", err)
	case errors.Is(err, ErrJobNotFound):
		return refuse(http.StatusNotFound, "%v", err)
	case errors.Is(err, ErrUnconfirmed):
		return &Refusal{
			Status: http.StatusGatewayTimeout, Outcome: laddermodel.Unknown, Reason: err.Error(), RetryAfter: storeRetryAfter,
		}
	}
	return &Refusal{
		Status: http.StatusServiceUnavailable, Outcome: laddermodel.NotRun, Reason: err.Error(), RetryAfter: storeRetryAfter,
	}
}

// writeJSON writes v as a JSON response.
func (x *exchange) writeJSON(status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		x.refuse(refuse(http.StatusInternalServerError, "%v", err))
		return
	}
	x.writeBody(status, "application/json", append(data, '\n'))
}
