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
	defaultClaimLease                = 3 * time.Second
	defaultKeyHorizon                = 12 * time.Second
	defaultMaxBodyBytes              = 1 << 20
	defaultRetryRatio                = 0.1
	defaultCrossRegionBytesPerSecond = 256 << 10
	defaultTaskLease                 = 30 * time.Second
	defaultMaxTasksPerJob            = 5_000
	defaultDeadline                  = 2 * time.Second
	defaultStartTimeout              = 300 * time.Millisecond
)

// Bounds of values in the document.
const (
	minClaimLease = 500 * time.Millisecond
	maxDeadline   = time.Minute
)

// namePattern matches the valid names of zones, racks, members, classes and teams.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Parse reads and checks a configuration. The error, if any, is a
// [*lacewingladder/ladderfinding.Error] that holds all findings.
func Parse(file string, data []byte) (*Config, error) {
	root := ladderyaml.Parse(file, data)
	c := &Config{
		Members: map[string]Member{}, Classes: map[string]Class{}, Teams: map[string]Team{},
		Drained: map[string]bool{},
	}
	p := parser{config: c, zoneAndRackNames: map[string]bool{}}
	// The limits and the members come first because classes and teams are checked
	// against them. The exceptions come last because they change classes and teams.
	defaults := root.RequiredKey("defaults")
	p.readLimits(defaults.Key("limits"))
	p.readZones(defaults.RequiredKey("zones"))
	p.readMembers(defaults.RequiredKey("members"))
	p.readClasses(defaults.Key("classes"))
	p.readTeams(defaults.Key("teams"))
	defaults.CheckUnknownKeys()
	p.readExceptions(root.Key("exceptions"))
	root.CheckUnknownKeys()
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
		ClaimLease:                r.Key("lease").Duration(defaultClaimLease),
		KeyHorizon:                r.Key("horizon").Duration(defaultKeyHorizon),
		MaxBodyBytes:              r.Key("body").Bytes(defaultMaxBodyBytes),
		RetryRatio:                r.Key("retries").Ratio(defaultRetryRatio),
		CrossRegionBytesPerSecond: r.Key("link").Bytes(defaultCrossRegionBytesPerSecond),
		JobPolicy:                 readPolicy(r.Key("policy"), "pack"),
		TaskLease:                 r.Key("tasklease").Duration(defaultTaskLease),
	}
	if limits.ClaimLease < minClaimLease {
		r.Key("lease").AddFinding("a claim needs at least %v", minClaimLease)
	}
	if limits.TaskLease < 2*limits.ClaimLease {
		r.Key("tasklease").AddFinding("tasks must outlast two claims of %v, or a takeover stops them", limits.ClaimLease)
	}
	r.CheckUnknownKeys()
	p.config.Limits = limits
}

// readZones reads the "zones" section of the document.
func (p *parser) readZones(r *ladderyaml.Reader) {
	for _, zoneFields := range r.Items() {
		zone := Zone{Name: p.readUniqueName(zoneFields.RequiredKey("name")), Region: readName(zoneFields.RequiredKey("region"))}
		for _, rackFields := range zoneFields.RequiredKey("racks").Items() {
			rack := Rack{Name: p.readUniqueName(rackFields.RequiredKey("name")), Seats: rackFields.RequiredKey("seats").WholeNumber(0)}
			if rack.Seats == 0 {
				rackFields.AddFinding("a rack needs seats")
			}
			rackFields.CheckUnknownKeys()
			zone.Racks = append(zone.Racks, rack)
		}
		zoneFields.CheckUnknownKeys()
		p.config.Zones = append(p.config.Zones, zone)
	}
	if r.Present() && len(p.config.Zones) == 0 {
		r.AddFinding("the cell needs a zone")
	}
}

// readMembers reads the "members" section of the document.
func (p *parser) readMembers(r *ladderyaml.Reader) {
	for _, name := range r.Keys() {
		fields := r.Key(name)
		checkName(fields, name)
		p.config.Members[name] = Member{
			Name:           name,
			MaxTasksPerJob: fields.Key("tasks").WholeNumber(defaultMaxTasksPerJob),
		}
		fields.CheckUnknownKeys()
	}
	if r.Present() && len(p.config.Members) == 0 {
		r.AddFinding("the cell needs a member")
	}
}

// readClasses reads the "classes" section of the document.
func (p *parser) readClasses(r *ladderyaml.Reader) {
	for _, name := range r.Keys() {
		fields := r.Key(name)
		checkName(fields, name)
		class := Class{
			Name:         name,
			Member:       p.readMember(fields.RequiredKey("member")),
			Size:         readSize(fields.RequiredKey("size")),
			Deadline:     fields.Key("deadline").Duration(defaultDeadline),
			Estimate:     fields.Key("estimate").Duration(0),
			StartTimeout: fields.Key("share").Duration(defaultStartTimeout),
			RunOnce:      fields.Key("once").Bool(false),
			CrossRegion:  fields.Key("far").Bool(false),
			Policy:       readPolicy(fields.Key("policy"), "spread"),
		}
		p.checkDeadline(fields.Key("deadline"), class.Deadline)
		fields.CheckUnknownKeys()
		p.config.Classes[name] = class
	}
}

// checkDeadline adds a finding if the deadline is out of bounds. A deadline plus
// the claim lease must not exceed the horizon, so that a key is still remembered
// when the last attempt made with it has ended.
func (p *parser) checkDeadline(r *ladderyaml.Reader, d time.Duration) {
	if d == 0 || d > maxDeadline {
		r.AddFinding("a deadline must be above 0s and at most %v", maxDeadline)
	}
	if longest := p.config.Limits.KeyHorizon - p.config.Limits.ClaimLease; d > longest {
		r.AddFinding("a deadline must be at most the horizon less the lease, which is %v", longest)
	}
}

// readTeams reads the "teams" section of the document.
func (p *parser) readTeams(r *ladderyaml.Reader) {
	for _, name := range r.Keys() {
		fields := r.Key(name)
		checkName(fields, name)
		p.config.Teams[name] = Team{
			Name:   name,
			Member: p.readMember(fields.RequiredKey("member")),
			Quota:  fields.RequiredKey("quota").WholeNumber(0),
			Weight: max(1, fields.Key("weight").WholeNumber(1)),
		}
		fields.CheckUnknownKeys()
	}
}

// readExceptions reads the "exceptions" section of the document.
func (p *parser) readExceptions(r *ladderyaml.Reader) {
	for _, item := range r.Items() {
		exception := Exception{
			Target:  item.RequiredKey("target").Text(),
			Setting: item.RequiredKey("set").Text(),
			Value:   item.RequiredKey("value").Text(),
			Reason:  strings.TrimSpace(item.Key("reason").Text()),
		}
		if exception.Reason == "" {
			item.AddFinding("an exception needs a written reason")
		}
		p.applyException(item, exception)
		item.CheckUnknownKeys()
		p.config.Exceptions = append(p.config.Exceptions, exception)
	}
}

// applyException applies one exception to the configuration.
func (p *parser) applyException(r *ladderyaml.Reader, e Exception) {
	kind, target, _ := strings.Cut(e.Target, "/")
	value := r.Key("value")
	switch kind + " " + e.Setting {
	case "worker drain":
		p.config.Drained[target] = value.Bool(false)
	case "class deadline":
		class, ok := p.config.Classes[target]
		if !ok {
			r.Key("target").AddFinding("class %q is not in the defaults", target)
			return
		}
		class.Deadline = value.Duration(class.Deadline)
		p.checkDeadline(value, class.Deadline)
		p.config.Classes[target] = class
	case "class policy":
		class, ok := p.config.Classes[target]
		if !ok {
			r.Key("target").AddFinding("class %q is not in the defaults", target)
			return
		}
		class.Policy = readPolicy(value, class.Policy)
		p.config.Classes[target] = class
	case "team quota":
		team, ok := p.config.Teams[target]
		if !ok {
			r.Key("target").AddFinding("team %q is not in the defaults", target)
			return
		}
		team.Quota = value.WholeNumber(team.Quota)
		p.config.Teams[target] = team
	default:
		r.AddFinding("an exception sets worker/NAME drain, class/NAME deadline or policy, or team/NAME quota; not %q %q",
			e.Target, e.Setting)
	}
}

// readMember reads the name of a member, and adds a finding if the defaults have
// no such member.
func (p *parser) readMember(r *ladderyaml.Reader) string {
	name := r.Text()
	if _, ok := p.config.Members[name]; r.Present() && !ok {
		r.AddFinding("member %q is not in the defaults", name)
	}
	return name
}

// readUniqueName reads the name of a zone or rack, and adds a finding if another
// zone or rack has the same name.
func (p *parser) readUniqueName(r *ladderyaml.Reader) string {
	name := readName(r)
	if name != "" && p.zoneAndRackNames[name] {
		r.AddFinding("%q names a zone or rack already", name)
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
		r.AddFinding("%q is not a name of up to 63 lower-case letters, digits and dashes", name)
	}
}

// readPolicy reads the name of a placement policy, or returns the fallback if the
// value is missing.
func readPolicy(r *ladderyaml.Reader, fallback string) string {
	if !r.Present() {
		return fallback
	}
	if _, err := ladderplacement.NewPolicy(r.Text(), 0); err != nil {
		r.AddFinding("%v", err)
	}
	return r.Text()
}

// readSize reads the resources that a task needs.
func readSize(r *ladderyaml.Reader) laddermodel.Size {
	s := laddermodel.Size{
		Slots:        r.Key("slots").WholeNumber(1),
		Millicores:   r.Key("cores").Millicores(0),
		Memory:       r.Key("memory").Bytes(0),
		Accelerators: r.Key("accelerators").WholeNumber(0),
	}
	if s.Slots == 0 {
		r.AddFinding("a task needs at least one slot")
	}
	r.CheckUnknownKeys()
	return s
}

// ReadSize reads the resources that a task needs, such as
// {slots: 1, cores: 500m, memory: 256MiB}.
func ReadSize(r *ladderyaml.Reader) laddermodel.Size { return readSize(r) }

// ConflictError is the error for a configuration change that was rejected because
// another change was accepted first.
type ConflictError struct {
	// Current is the version that is in force.
	Current Version
}

// Error names the version that is in force and the operator who applied it.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: version %s by %s (change %s) is in force",
		strconv.FormatUint(e.Current.Number, 10), e.Current.Operator, e.Current.ChangeID)
}
