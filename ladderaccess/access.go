package ladderaccess

import (
	"strings"

	"lacewingladder/ladderflow"
)

// scheme is the only authentication scheme, as in RFC 6750. Its case does not matter.
const scheme = "Bearer"

// Caller is who makes a call, as far as its key tells. The zero value is a caller of a deployment without teams,
// which may use all jobs.
type Caller struct {
	// Team is the team that the key names, or empty.
	Team string
	// KeysRequired is true if the configuration has teams.
	KeysRequired bool
	// Queue is the queue of the call, and Public whether it is public.
	Queue  string
	Public bool
}

// Refusal is why a call needs another key.
type Refusal struct {
	// Reason is the reason, for logs.
	Reason string
	// Key identifies the key in logs. It is empty if there is none.
	Key string
	// Text is the error for the caller, and Challenge the value of WWW-Authenticate.
	Text      string
	Challenge string
}

// Authorize returns who makes a call on a queue, from the values of its Authorization headers. It returns a
// refusal if the call needs a key and has none that a team has now. On a public queue, a key that no team has
// is ignored.
func Authorize(f *ladderflow.FleetConfig, q *ladderflow.Queue, headers []string) (Caller, *Refusal) {
	if !f.KeysRequired {
		return Caller{}, nil
	}
	c := Caller{KeysRequired: true, Queue: q.Name, Public: q.Public}
	key, refusal := parseKey(headers)
	if refusal == nil {
		hash := ladderflow.HashKey(key)
		if t, ok := f.TeamOfKey(hash); ok {
			c.Team = t.Name
			return c, nil
		}
		refusal = unknownKey(key, hash)
	}
	if q.Public {
		return c, nil
	}
	return Caller{}, refusal
}

// unknownKey returns the refusal of a key that no team has.
func unknownKey(key string, hash ladderflow.KeyHash) *Refusal {
	if strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return malformed("the key in the Authorization header has a space or a character outside of ASCII")
	}
	return &Refusal{
		Reason: "unknown key", Key: hash.String(), Text: "the key is not valid", Challenge: scheme + ` error="invalid_token"`,
	}
}

// malformed returns the refusal of a header that is not as RFC 6750 says.
func malformed(text string) *Refusal {
	return &Refusal{Reason: "malformed header", Text: text, Challenge: scheme + ` error="invalid_request"`}
}

// parseKey returns the key in the values of the Authorization headers: all that follows the scheme.
func parseKey(headers []string) (string, *Refusal) {
	switch {
	case len(headers) == 0:
		return "", &Refusal{Reason: "no key", Text: "this queue needs a key: Authorization: Bearer KEY", Challenge: scheme}
	case len(headers) > 1:
		return "", malformed("there is more than one Authorization header")
	}
	name, key, _ := strings.Cut(strings.Trim(headers[0], " \t"), " ")
	if !strings.EqualFold(name, scheme) {
		return "", malformed("the Authorization header is not of the form: Bearer KEY")
	}
	if key = strings.TrimLeft(key, " "); key == "" {
		return "", malformed("the Authorization header has no key after Bearer")
	}
	return key, nil
}

// JobTeam returns the team of a job that the caller submits. Jobs of public queues have none: their callers need
// no key afterwards either.
func (c Caller) JobTeam() string {
	if c.Public {
		return ""
	}
	return c.Team
}

// MayUse reports whether the caller may query, cancel or submit again a job of the given team and queue. A job
// without a team was submitted to a public queue, before there were teams, or to an earlier build; whoever may use
// the queue and knows the job's ID may use it. A queue may have become public after the job was submitted; its
// callers then have no key.
func (c Caller) MayUse(team, queue string) bool {
	return !c.KeysRequired || team == "" || team == c.Team || c.Public && queue == c.Queue
}

// Withdrawn returns the names of the teams that lose keys from one configuration to the next, and the number of
// those keys. A key that moves to another team counts as well.
func Withdrawn(old, next *ladderflow.FleetConfig) (teams []string, keys int) {
	for i := range old.Teams {
		t, lost := &old.Teams[i], 0
		for _, h := range t.Keys {
			before, ok := old.TeamOfKey(h)
			if !ok || before != t {
				continue
			}
			if now, ok := next.TeamOfKey(h); !ok || now.Name != t.Name {
				lost++
			}
		}
		if lost > 0 {
			teams, keys = append(teams, t.Name), keys+lost
		}
	}
	return teams, keys
}
