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

// Values for keys that the document leaves out.
const (
	defaultLease     = 3 * time.Second
	defaultHorizon   = 12 * time.Second
	defaultBody      = 1 << 20
	defaultRetries   = 0.1
	defaultLink      = 256 << 10
	defaultTasklease = 30 * time.Second
	defaultTasks     = 5_000
	defaultDeadline  = 2 * time.Second
	defaultShare     = 300 * time.Millisecond
)

// Bounds of values in the document.
const (
	minLease    = 500 * time.Millisecond
	maxDeadline = time.Minute
)

// namePattern matches the valid names of zones, racks, members, classes and teams.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Parse reads and checks a configuration. The error, if any, is a
// [*ladderfinding.Error] that holds all findings.
func Parse(file string, data []byte) (*Config, error) {
	root := ladderyaml.Parse(file, data)
	c := &Config{
		Members: map[string]Member{}, Classes: map[string]Class{}, Teams: map[string]Team{},
		Drained: map[string]bool{},
	}
	p := parser{config: c, zoneAndRackNames: map[string]bool{}}
	defaults := root.Need("defaults")
	p.readLimits(defaults.Key("limits"))
	p.readZones(defaults.Need("zones"))
	p.readMembers(defaults.Need("members"))
	p.readClasses(defaults.Key("classes"))
	p.readTeams(defaults.Key("teams"))
	defaults.Done()
	p.readExceptions(root.Key("exceptions"))
	root.Done()
	if err := root.Findings().Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// parser fills a configuration from a document.
type parser struct {
	config *Config
	// zoneAndRackNames holds the names of all zones and racks read so far. No two
	// of them may be equal.
	zoneAndRackNames map[string]bool
}

// readLimits reads the "limits" section of the document.
func (p *parser) readLimits(r *ladderyaml.Reader) {
	limits := Limits{
		Lease:     r.Key("lease").Duration(defaultLease),
		Horizon:   r.Key("horizon").Duration(defaultHorizon),
		Body:      r.Key("body").Bytes(defaultBody),
		Retries:   r.Key("retries").Ratio(defaultRetries),
		Link:      r.Key("link").Bytes(defaultLink),
		Policy:    readPolicy(r.Key("policy"), "pack"),
		Tasklease: r.Key("tasklease").Duration(defaultTasklease),
	}
	if limits.Lease < minLease {
		r.Key("lease").Fault("a claim needs at least %v", minLease)
	}
	if limits.Tasklease < 2*limits.Lease {
		r.Key("tasklease").Fault("tasks must outlast two claims of %v, or a takeover stops them", limits.Lease)
	}
	r.Done()
	p.config.Limits = limits
}

// readZones reads the "zones" section of the document.
func (p *parser) readZones(r *ladderyaml.Reader) {
	for _, zoneFields := range r.Items() {
		zone := Zone{Name: p.readUniqueName(zoneFields.Need("name")), Region: readName(zoneFields.Need("region"))}
		for _, rackFields := range zoneFields.Need("racks").Items() {
			rack := Rack{Name: p.readUniqueName(rackFields.Need("name")), Seats: rackFields.Need("seats").Count(0)}
			if rack.Seats == 0 {
				rackFields.Fault("a rack needs seats")
			}
			rackFields.Done()
			zone.Racks = append(zone.Racks, rack)
		}
		zoneFields.Done()
		p.config.Zones = append(p.config.Zones, zone)
	}
	if r.Present() && len(p.config.Zones) == 0 {
		r.Fault("the cell needs a zone")
	}
}

// readMembers reads the "members" section of the document.
func (p *parser) readMembers(r *ladderyaml.Reader) {
	for _, name := range r.Keys() {
		fields := r.Key(name)
		checkName(fields, name)
		p.config.Members[name] = Member{
			Name:  name,
			Tasks: fields.Key("tasks").Count(defaultTasks),
		}
		fields.Done()
	}
	if r.Present() && len(p.config.Members) == 0 {
		r.Fault("the cell needs a member")
	}
}

// readClasses reads the "classes" section of the document.
func (p *parser) readClasses(r *ladderyaml.Reader) {
	for _, name := range r.Keys() {
		fields := r.Key(name)
		checkName(fields, name)
		class := Class{
			Name:     name,
			Member:   p.readMember(fields.Need("member")),
			Size:     readSize(fields.Need("size")),
			Deadline: fields.Key("deadline").Duration(defaultDeadline),
			Estimate: fields.Key("estimate").Duration(0),
			Share:    fields.Key("share").Duration(defaultShare),
			Once:     fields.Key("once").Flag(false),
			Far:      fields.Key("far").Flag(false),
			Policy:   readPolicy(fields.Key("policy"), "spread"),
		}
		p.checkDeadline(fields.Key("deadline"), class.Deadline)
		fields.Done()
		p.config.Classes[name] = class
	}
}

// checkDeadline adds a finding if the deadline is out of bounds. A deadline plus
// the claim lease must not exceed the horizon, so that a key is still remembered
// when the last attempt made with it has ended.
func (p *parser) checkDeadline(r *ladderyaml.Reader, d time.Duration) {
	if d == 0 || d > maxDeadline {
		r.Fault("a deadline must be above 0s and at most %v", maxDeadline)
	}
	if longest := p.config.Limits.Horizon - p.config.Limits.Lease; d > longest {
		r.Fault("a deadline must be at most the horizon less the lease, which is %v", longest)
	}
}

// readTeams reads the "teams" section of the document.
func (p *parser) readTeams(r *ladderyaml.Reader) {
	for _, name := range r.Keys() {
		fields := r.Key(name)
		checkName(fields, name)
		p.config.Teams[name] = Team{
			Name:   name,
			Member: p.readMember(fields.Need("member")),
			Quota:  fields.Need("quota").Count(0),
			Weight: max(1, fields.Key("weight").Count(1)),
		}
		fields.Done()
	}
}

// readExceptions reads the "exceptions" section of the document.
func (p *parser) readExceptions(r *ladderyaml.Reader) {
	for _, item := range r.Items() {
		exception := Exception{
			Target: item.Need("target").Text(),
			Set:    item.Need("set").Text(),
			Value:  item.Need("value").Text(),
			Reason: strings.TrimSpace(item.Key("reason").Text()),
		}
		if exception.Reason == "" {
			item.Fault("an exception needs a written reason")
		}
		p.applyException(item, exception)
		item.Done()
		p.config.Exceptions = append(p.config.Exceptions, exception)
	}
}

// applyException applies one exception to the configuration.
func (p *parser) applyException(r *ladderyaml.Reader, e Exception) {
	kind, target, _ := strings.Cut(e.Target, "/")
	value := r.Key("value")
	switch kind + " " + e.Set {
	case "worker drain":
		p.config.Drained[target] = value.Flag(false)
	case "class deadline":
		class, ok := p.config.Classes[target]
		if !ok {
			r.Key("target").Fault("class %q is not in the defaults", target)
			return
		}
		class.Deadline = value.Duration(class.Deadline)
		p.checkDeadline(value, class.Deadline)
		p.config.Classes[target] = class
	case "class policy":
		class, ok := p.config.Classes[target]
		if !ok {
			r.Key("target").Fault("class %q is not in the defaults", target)
			return
		}
		class.Policy = readPolicy(value, class.Policy)
		p.config.Classes[target] = class
	case "team quota":
		team, ok := p.config.Teams[target]
		if !ok {
			r.Key("target").Fault("team %q is not in the defaults", target)
			return
		}
		team.Quota = value.Count(team.Quota)
		p.config.Teams[target] = team
	default:
		r.Fault("an exception sets worker/NAME drain, class/NAME deadline or policy, or team/NAME quota; not %q %q",
			e.Target, e.Set)
	}
}

// readMember reads the name of a member, and adds a finding if the defaults have
// no such member.
func (p *parser) readMember(r *ladderyaml.Reader) string {
	name := r.Text()
	if _, ok := p.config.Members[name]; r.Present() && !ok {
		r.Fault("member %q is not in the defaults", name)
	}
	return name
}

// readUniqueName reads the name of a zone or rack, and adds a finding if another
// zone or rack has the same name.
func (p *parser) readUniqueName(r *ladderyaml.Reader) string {
	name := readName(r)
	if name != "" && p.zoneAndRackNames[name] {
		r.Fault("%q names a zone or rack already", name)
	}
	p.zoneAndRackNames[name] = true
	return name
}

// readName reads a name and adds a finding if it is not valid.
func readName(r *ladderyaml.Reader) string {
	name := r.Text()
	if r.Present() {
		checkName(r, name)
	}
	return name
}

// checkName adds a finding if the name is not valid.
func checkName(r *ladderyaml.Reader, name string) {
	if !namePattern.MatchString(name) {
		r.Fault("%q is not a name of up to 63 lower-case letters, digits and dashes", name)
	}
}

// readPolicy reads the name of a placement policy, or returns the fallback if the
// value is missing.
func readPolicy(r *ladderyaml.Reader, fallback string) string {
	if !r.Present() {
		return fallback
	}
	if _, err := ladderplacement.Named(r.Text(), 0); err != nil {
		r.Fault("%v", err)
	}
	return r.Text()
}

// readSize reads the resources that a task needs.
func readSize(r *ladderyaml.Reader) laddermodel.Size {
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

// Size reads the resources that a task needs, such as
// {slots: 1, cores: 500m, memory: 256MiB}.
func Size(r *ladderyaml.Reader) laddermodel.Size { return readSize(r) }

// Refusal is the error for a configuration change that was rejected because
// another change was accepted first.
type Refusal struct {
	// Held is the version that is in force.
	Held Version
}

// Error names the version that is in force and the operator who applied it.
func (r *Refusal) Error() string {
	return fmt.Sprintf("conflict: version %s by %s (change %s) is in force",
		strconv.FormatUint(r.Held.Number, 10), r.Held.By, r.Held.Change)
}
