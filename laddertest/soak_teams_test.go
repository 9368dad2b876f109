package laddertest

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"lacewingladder/ladderflow"
)

const (
	// soakApplied is how long after a configuration was stored a VM may use the one before, whatever happens to it and to
	// the store meanwhile.
	soakApplied = 12 * time.Second
	// soakHotPrefix begins the IDs of the jobs that the hot team submits beyond its usual ones, soakHotInterval apart: some
	// eight times as many as the usual ones.
	soakHotPrefix   = "d"
	soakHotInterval = 10 * time.Millisecond
	// soakLeastQuota is the least quota of a team, in cores, which all gangs fit.
	soakLeastQuota = 16
)

// The indexes of the soak's teams. One of eight jobs is of the team with a quota, and two are of the one that gets hot.
const (
	soakSteady = iota
	soakCapped
	soakHot
)

// soakKeys is what the soak knows of keys that were withdrawn.
type soakKeys struct {
	withdrawn []string
	// refused holds the keys that a VM has refused after they were withdrawn.
	refused map[string]bool
}

// addTeams gives the soak teams.
func (s *soak) addTeams() {
	s.setTeams(soakApplied, func(run ladderflow.Run, text string) {
		// The worker's mutex is held, and linesOf takes some time.
		s.wait.Go(func() { s.fail(run.Task.Job, "start %v: %s", run, text) })
	}, flowTeam{"steady", 0, []string{"key-steady", "key-passing-0"}}, flowTeam{"capped", 2 * soakLeastQuota, []string{"key-capped"}}, flowTeam{"hot", 0, []string{"key-hot"}})
	s.configure(2, "")
	s.keys.refused = map[string]bool{}
}

// teamOf returns the team of a job. IDs that are not numbers, such as those of queues, belong to the steady team.
func (s *soak) teamOf(id string) flowTeam {
	n, err := strconv.ParseUint(id, 16, 64)
	switch {
	case err != nil || id == "":
	case id[:1] == soakHotPrefix || n%8 > 5:
		return s.teams.list[soakHot]
	case n%8 == 0:
		return s.teams.list[soakCapped]
	}
	return s.teams.list[soakSteady]
}

// changeTeams withdraws a key and adds another, or changes a quota, in the next configuration.
func (s *soak) changeTeams(r *rand.Rand, version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Other goroutines read the teams.
	list := append([]flowTeam(nil), s.teams.list...)
	if r.IntN(2) == 0 {
		s.keys.withdrawn = append(s.keys.withdrawn, list[soakSteady].keys[1])
		list[soakSteady].keys = []string{"key-steady", fmt.Sprint("key-passing-", version)}
	} else {
		list[soakCapped].cores = soakLeastQuota + r.IntN(2*soakLeastQuota)
	}
	s.teams.list = list
}

// watchKeys checks that keys that no configuration had do not work, that withdrawn ones stop working, and that none works
// again on a VM that has refused it.
func (s *soak) watchKeys(r *rand.Rand) {
	time.Sleep(30 * time.Millisecond)
	v, key := s.any(r), "key-never"
	s.mu.Lock()
	if n := len(s.keys.withdrawn); n > 0 && r.IntN(4) > 0 {
		key = s.keys.withdrawn[n-1-r.IntN(min(n, 4))]
	}
	refused := s.keys.refused[v.name+key]
	s.mu.Unlock()
	status, _ := s.askAs(v, key, http.MethodGet, "/fit/", "")
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case status == http.StatusUnauthorized:
		s.keys.refused[v.name+key] = true
	case status == http.StatusOK && refused:
		s.breakPromise("", "%s has refused the withdrawn key %q and serves it again", v.name, key)
	}
}

// judge checks an answer by the key of its request.
func (s *soak) judge(v *flowVM, key string, sent time.Time, status int) {
	if err := s.teams.keys.Judge(key, sent, time.Now(), status); err != nil {
		s.fail("", "%s, key %q: %v", v.name, key, err)
	}
}

// heat has the hot team send many times its usual for a while.
func (s *soak) heat(r *rand.Rand) {
	s.pause(time.Duration(2000+r.IntN(4000)) * time.Millisecond)
	length := time.Duration(500+r.IntN(2500)) * time.Millisecond
	s.note("the hot team sends many jobs for %v", length)
	over := time.After(length)
	for {
		select {
		case <-s.stop:
			return
		case <-over:
			return
		case <-time.After(soakHotInterval):
			s.submitJob(r, soakHotPrefix)
		}
	}
}
