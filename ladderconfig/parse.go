package ladderconfig

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"lacewingladder/laddermodel"
	"lacewingladder/ladderplacement"
	"lacewingladder/ladderyaml"
)

// The standard values of the document's keys.
const (
	standardLease     = 3 * time.Second
	standardHorizon   = 12 * time.Second
	standardBody      = 1 << 20
	standardRetries   = 0.1
	standardLink      = 256 << 10
	standardTasklease = 30 * time.Second
	standardTasks     = 5_000
	standardDeadline  = 2 * time.Second
	standardShare     = 300 * time.Millisecond
)

// The bounds of some values.
const (
	minLease    = 500 * time.Millisecond
	maxDeadline = time.Minute
)

// name is the form of all names in a configuration.
var name = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Parse reads and checks a configuration. The error, if any, is a
// [*ladderfinding.Error] with all findings.
func Parse(file string, data []byte) (*Config, error) {
	root := ladderyaml.Parse(file, data)
	c := &Config{
		Members: map[string]Member{}, Classes: map[string]Class{}, Teams: map[string]Team{},
		Drained: map[string]bool{},
	}
	p := parser{config: c, names: map[string]bool{}}
	d := root.Need("defaults")
	p.limits(d.Key("limits"))
	p.zones(d.Need("zones"))
	p.members(d.Need("members"))
	p.classes(d.Key("classes"))
	p.teams(d.Key("teams"))
	d.Done()
	p.exceptions(root.Key("exceptions"))
	root.Done()
	if err := root.Findings().Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// parser fills a configuration from a document.
type parser struct {
	config *Config
	// names holds every zone and rack seen, since they must differ.
	names map[string]bool
}

func (p *parser) limits(r *ladderyaml.Reader) {
	l := Limits{
		Lease:     r.Key("lease").Duration(standardLease),
		Horizon:   r.Key("horizon").Duration(standardHorizon),
		Body:      r.Key("body").Bytes(standardBody),
		Retries:   r.Key("retries").Ratio(standardRetries),
		Link:      r.Key("link").Bytes(standardLink),
		Policy:    policy(r.Key("policy"), "pack"),
		Tasklease: r.Key("tasklease").Duration(standardTasklease),
	}
	if l.Lease < minLease {
		r.Key("lease").Fault("a claim needs at least %v", minLease)
	}
	if l.Tasklease < 2*l.Lease {
		r.Key("tasklease").Fault("tasks must outlast two claims of %v, or a takeover stops them", l.Lease)
	}
	r.Done()
	p.config.Limits = l
}

func (p *parser) zones(r *ladderyaml.Reader) {
	for _, z := range r.Items() {
		zone := Zone{Name: p.unique(z.Need("name")), Region: named(z.Need("region"))}
		for _, k := range z.Need("racks").Items() {
			rack := Rack{Name: p.unique(k.Need("name")), Seats: k.Need("seats").Count(0)}
			if rack.Seats == 0 {
				k.Fault("a rack needs seats")
			}
			k.Done()
			zone.Racks = append(zone.Racks, rack)
		}
		z.Done()
		p.config.Zones = append(p.config.Zones, zone)
	}
	if r.Present() && len(p.config.Zones) == 0 {
		r.Fault("the cell needs a zone")
	}
}

func (p *parser) members(r *ladderyaml.Reader) {
	for _, n := range r.Keys() {
		m := r.Key(n)
		checkName(m, n)
		p.config.Members[n] = Member{
			Name:  n,
			Tasks: m.Key("tasks").Count(standardTasks),
		}
		m.Done()
	}
	if r.Present() && len(p.config.Members) == 0 {
		r.Fault("the cell needs a member")
	}
}

func (p *parser) classes(r *ladderyaml.Reader) {
	for _, n := range r.Keys() {
		k := r.Key(n)
		checkName(k, n)
		class := Class{
			Name:     n,
			Member:   p.member(k.Need("member")),
			Size:     size(k.Need("size")),
			Deadline: k.Key("deadline").Duration(standardDeadline),
			Estimate: k.Key("estimate").Duration(0),
			Share:    k.Key("share").Duration(standardShare),
			Once:     k.Key("once").Flag(false),
			Far:      k.Key("far").Flag(false),
			Policy:   policy(k.Key("policy"), "spread"),
		}
		p.checkDeadline(k.Key("deadline"), class.Deadline)
		k.Done()
		p.config.Classes[n] = class
	}
}

// checkDeadline keeps every attempt inside the horizon, so that a key outlives
// whatever ran under it.
func (p *parser) checkDeadline(r *ladderyaml.Reader, d time.Duration) {
	if d == 0 || d > maxDeadline {
		r.Fault("a deadline must be above 0s and at most %v", maxDeadline)
	}
	if room := p.config.Limits.Horizon - p.config.Limits.Lease; d > room {
		r.Fault("a deadline must be at most the horizon less the lease, which is %v", room)
	}
}

func (p *parser) teams(r *ladderyaml.Reader) {
	for _, n := range r.Keys() {
		t := r.Key(n)
		checkName(t, n)
		p.config.Teams[n] = Team{
			Name:   n,
			Member: p.member(t.Need("member")),
			Quota:  t.Need("quota").Count(0),
			Weight: max(1, t.Key("weight").Count(1)),
		}
		t.Done()
	}
}

func (p *parser) exceptions(r *ladderyaml.Reader) {
	for _, i := range r.Items() {
		e := Exception{
			Target: i.Need("target").Text(),
			Set:    i.Need("set").Text(),
			Value:  i.Need("value").Text(),
			Reason: strings.TrimSpace(i.Key("reason").Text()),
		}
		if e.Reason == "" {
			i.Fault("an exception needs a written reason")
		}
		p.except(i, e)
		i.Done()
		p.config.Exceptions = append(p.config.Exceptions, e)
	}
}

// except works one exception into the configuration.
func (p *parser) except(r *ladderyaml.Reader, e Exception) {
	kind, target, _ := strings.Cut(e.Target, "/")
	value := r.Key("value")
	switch kind + " " + e.Set {
	case "worker drain":
		p.config.Drained[target] = value.Flag(false)
	case "class deadline":
		k, ok := p.config.Classes[target]
		if !ok {
			r.Key("target").Fault("class %q is not in the defaults", target)
			return
		}
		k.Deadline = value.Duration(k.Deadline)
		p.checkDeadline(value, k.Deadline)
		p.config.Classes[target] = k
	case "class policy":
		k, ok := p.config.Classes[target]
		if !ok {
			r.Key("target").Fault("class %q is not in the defaults", target)
			return
		}
		k.Policy = policy(value, k.Policy)
		p.config.Classes[target] = k
	case "team quota":
		t, ok := p.config.Teams[target]
		if !ok {
			r.Key("target").Fault("team %q is not in the defaults", target)
			return
		}
		t.Quota = value.Count(t.Quota)
		p.config.Teams[target] = t
	default:
		r.Fault("an exception sets worker/NAME drain, class/NAME deadline or policy, or team/NAME quota; not %q %q",
			e.Target, e.Set)
	}
}

func (p *parser) member(r *ladderyaml.Reader) string {
	m := r.Text()
	if _, ok := p.config.Members[m]; r.Present() && !ok {
		r.Fault("member %q is not in the defaults", m)
	}
	return m
}

// unique returns a name that no other zone or rack may have.
func (p *parser) unique(r *ladderyaml.Reader) string {
	n := named(r)
	if n != "" && p.names[n] {
		r.Fault("%q names a zone or rack already", n)
	}
	p.names[n] = true
	return n
}

func named(r *ladderyaml.Reader) string {
	n := r.Text()
	if r.Present() {
		checkName(r, n)
	}
	return n
}

func checkName(r *ladderyaml.Reader, n string) {
	if !name.MatchString(n) {
		r.Fault("%q is not a name of up to 63 lower-case letters, digits and dashes", n)
	}
}

func policy(r *ladderyaml.Reader, standard string) string {
	if !r.Present() {
		return standard
	}
	if _, err := ladderplacement.Named(r.Text(), 0); err != nil {
		r.Fault("%v", err)
	}
	return r.Text()
}

func size(r *ladderyaml.Reader) laddermodel.Size {
	s := laddermodel.Size{
		Slots:        r.Key("slots").Count(1),
		Millicores:   r.Key("cores").Millicores(0),
		Memory:       r.Key("memory").Bytes(0),
		Accelerators: r.Key("accelerators").Count(0),
	}
	if s.Slots == 0 {
		r.Fault("a task needs at least one slot")
	}
	r.Done()
	return s
}

// Size reads a size such as {slots: 1, cores: 500m, memory: 256MiB}.
func Size(r *ladderyaml.Reader) laddermodel.Size { return size(r) }

// Refusal is a configuration change that lost a race.
type Refusal struct {
	// Held is the version that is in force.
	Held Version
}

// Error names who won.
func (r *Refusal) Error() string {
	return fmt.Sprintf("conflict: version %s by %s (change %s) is in force",
		strconv.FormatUint(r.Held.Number, 10), r.Held.By, r.Held.Change)
}
