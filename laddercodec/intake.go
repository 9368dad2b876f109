package laddercodec

import (
	"fmt"
	"math"
	"time"

	"lacewingladder/ladderintake"
	"lacewingladder/laddermessage"
)

// The kinds of the messages about the jobs that VMs take in. The values are part of the format. Builds
// without them reject these messages, which are sent only if the configuration has teams.
const (
	kindIntakeReport kind = iota + 128
	kindIntakeLimits
	kindIntakeQuery
	kindIntakeTurn
)

// intakeReportWire encodes a [laddermessage.IntakeReport].
type intakeReportWire struct {
	_      struct{} `cbor:",toarray"`
	VM     string
	Counts []intakeCountWire
	// Unsettled holds the IDs of jobs whose submission has an unknown outcome.
	Unsettled []string
}

// intakeCountWire encodes a [ladderintake.Count].
type intakeCountWire struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Team     string
	Admitted int
	Referred int
}

// intakeLimitWire encodes a [ladderintake.Limit]. Rate is in millionths of a job per second, and Backlogs is
// in milliseconds. Classes at the end that are not limited are omitted.
type intakeLimitWire struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Team     string
	Rate     int64
	Backlogs []int64
}

// intakeQueryWire encodes a [laddermessage.IntakeQuery].
type intakeQueryWire struct {
	_         struct{} `cbor:",toarray"`
	Service   string
	Team      string
	Job       string
	Weight    float64
	Path      int64
	Objective int64
	Allowance int64
	Slack     int64
	Due       int64
	Cause     string
}

// intakeTurnWire encodes a [laddermessage.IntakeTurn].
type intakeTurnWire struct {
	_        struct{} `cbor:",toarray"`
	Found    bool
	Promised bool
	Ready    bool
	Wait     int64
}

const (
	// rateUnits is the number of units in which rates are sent that are one job per second.
	rateUnits = 1e6
	// maxBacklog bounds the backlogs that are accepted. It is far above what a leader states.
	maxBacklog = time.Hour
)

// toIntakeWire converts a message about the jobs that VMs take in to its wire type. It returns false for
// other messages.
func toIntakeWire(m laddermessage.Message) (kind, any, bool) {
	switch m := m.(type) {
	case laddermessage.IntakeReport:
		return kindIntakeReport, intakeReportWire{
			VM: m.VM, Unsettled: m.Unsettled, Counts: mapAll(m.Counts, func(c ladderintake.Count) intakeCountWire {
				return intakeCountWire{Service: c.Service, Team: c.Team, Admitted: c.Admitted, Referred: c.Referred}
			}),
		}, true
	case laddermessage.IntakeLimits:
		return kindIntakeLimits, mapAll(m.Limits, fromLimit), true
	case laddermessage.IntakeQuery:
		o := m.Offer
		return kindIntakeQuery, intakeQueryWire{
			Service: o.Service, Team: o.Team, Job: o.Job, Weight: o.Weight, Path: int64(o.Path), Objective: int64(o.Objective), Allowance: int64(o.Allowance),
			Slack: int64(o.Slack), Due: int64(o.Due), Cause: string(m.Cause),
		}, true
	case laddermessage.IntakeTurn:
		return kindIntakeTurn, intakeTurnWire{Found: m.Found, Promised: m.Promised, Ready: m.Ready, Wait: int64(m.Wait)}, true
	}
	return 0, nil, false
}

// decodeIntake decodes the body of a message about the jobs that VMs take in.
func decodeIntake(k kind, body []byte) (laddermessage.Message, error) {
	switch k {
	case kindIntakeReport:
		return decode(body, toIntakeReport)
	case kindIntakeLimits:
		return decode(body, toIntakeLimits)
	case kindIntakeQuery:
		return decode(body, toIntakeQuery)
	case kindIntakeTurn:
		return decode(body, func(w intakeTurnWire) (laddermessage.IntakeTurn, error) {
			return laddermessage.IntakeTurn{
				Found: w.Found, Promised: w.Promised, Ready: w.Ready, Wait: max(0, time.Duration(w.Wait)),
			}, nil
		})
	default:
		return nil, fmt.Errorf("a message of kind %d is unknown", k)
	}
}

func toIntakeReport(w intakeReportWire) (laddermessage.IntakeReport, error) {
	return laddermessage.IntakeReport{VM: w.VM, Unsettled: w.Unsettled, Counts: mapAll(w.Counts, func(c intakeCountWire) ladderintake.Count {
		return ladderintake.Count{
			Key: ladderintake.Key{Service: c.Service, Team: c.Team}, Admitted: max(0, c.Admitted), Referred: max(0, c.Referred),
		}
	})}, nil
}

func fromLimit(l ladderintake.Limit) intakeLimitWire {
	w := intakeLimitWire{Service: l.Service, Team: l.Team, Rate: int64(math.Round(l.Rate * rateUnits))}
	for c, backlog := range l.Backlogs {
		if backlog > 0 {
			for len(w.Backlogs) < c {
				w.Backlogs = append(w.Backlogs, 0)
			}
			w.Backlogs = append(w.Backlogs, max(1, backlog.Milliseconds()))
		}
	}
	return w
}

// toIntakeLimits ignores classes that this build does not have.
func toIntakeLimits(w []intakeLimitWire) (laddermessage.IntakeLimits, error) {
	return laddermessage.IntakeLimits{Limits: mapAll(w, func(w intakeLimitWire) ladderintake.Limit {
		l := ladderintake.Limit{
			Key: ladderintake.Key{Service: w.Service, Team: w.Team}, Rate: max(0, float64(w.Rate)/rateUnits),
		}
		for c, ms := range w.Backlogs[:min(len(w.Backlogs), ladderintake.Classes)] {
			l.Backlogs[c] = time.Duration(max(0, min(ms, maxBacklog.Milliseconds()))) * time.Millisecond
		}
		return l
	})}, nil
}

func toIntakeQuery(w intakeQueryWire) (laddermessage.IntakeQuery, error) {
	if w.Weight < 0 || math.IsNaN(w.Weight) || math.IsInf(w.Weight, 1) {
		return laddermessage.IntakeQuery{}, fmt.Errorf("job %q: the weight %v is not a rate", w.Job, w.Weight)
	}
	return laddermessage.IntakeQuery{Cause: ladderintake.Cause(w.Cause), Offer: ladderintake.Offer{
		Key: ladderintake.Key{Service: w.Service, Team: w.Team}, Job: w.Job, Weight: w.Weight,
		Path: max(0, time.Duration(w.Path)), Objective: max(0, min(time.Duration(w.Objective), maxBacklog)), Allowance: max(0, time.Duration(w.Allowance)), Slack: max(0, time.Duration(w.Slack)),
		Due: max(0, time.Duration(w.Due)), Class: ladderintake.ClassOf(time.Duration(w.Due)),
	}}, nil
}
