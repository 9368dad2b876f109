package ladderjournal

import (
	"context"
	"strings"

	"lacewingladder/ladderflow"
	"lacewingladder/ladderplan"
	"lacewingladder/platform"
)

// Contents holds jobs, cancellations, progress and the roster, as read from the store.
type Contents struct {
	Jobs []*ladderflow.Job
	// Cancelled holds the ids of jobs that are cancelled whatever their teams are, and TeamCancellations the
	// cancellations that depend on the job's team.
	Cancelled         []string
	TeamCancellations []ladderflow.Cancellation
	Records           []ladderplan.Record
	Roster            []ladderflow.Worker
	// Terms holds the terms that may not be over.
	Terms []Term
	// Cordons holds the cordons of workers, each with its revision.
	Cordons []ladderplan.Cordon
	// Revision is one up to which no change of a job or a cancellation is missing.
	Revision int64
	// DecodeErrors holds an error for each value that could not be decoded. Such values stay
	// in the store as they are.
	DecodeErrors []error
	// recordOrder, rosterOrder and cordonOrder are the revisions of recordOrderKey, rosterOrderKey and
	// cordonOrderKey.
	recordOrder int64
	rosterOrder int64
	cordonOrder int64
}

// Load reads everything from the store. A job that is stored meanwhile may be missing, and a
// record whose job is missing has no effect: the caller learns of later jobs from the leader's
// messages or by a watch of [WatchPrefix] from [Contents.Revision].
func (j *Journal) Load(ctx context.Context) (*Contents, error) {
	c := &Contents{}
	for key, revision := range map[string]*int64{
		recordOrderKey: &c.recordOrder, rosterOrderKey: &c.rosterOrder, cordonOrderKey: &c.cordonOrder,
	} {
		item, _, err := j.store.Get(ctx, key)
		if err != nil {
			return nil, err
		}
		*revision = item.ModRevision
	}
	roster, ok, err := j.store.Get(ctx, rosterKey)
	if err != nil {
		return nil, err
	}
	if ok {
		// Whoever has stored the roster may have started tasks.
		c.Terms = []Term{{}}
		if c.Roster, err = decodeRoster(roster.Value); err != nil {
			c.DecodeErrors = append(c.DecodeErrors, err)
		}
	}
	terms, ok, err := j.store.Get(ctx, termsKey)
	if err != nil {
		return nil, err
	}
	if ok {
		if known, err := decodeTerms(terms.Value); err == nil {
			c.Terms = known
		} else {
			c.DecodeErrors = append(c.DecodeErrors, err)
		}
	}
	if err := j.loadCordons(ctx, c); err != nil {
		return nil, err
	}
	sections, err := j.loadPrefixes(ctx, jobPrefix, cancelPrefix, recordPrefix)
	if err != nil {
		return nil, err
	}
	for _, s := range sections {
		c.merge(s.contents)
		// The prefixes are read at the same time, each beginning with a page of its own.
		if s.prefix == jobPrefix || s.prefix == cancelPrefix {
			if c.Revision == 0 || s.revision < c.Revision {
				c.Revision = s.revision
			}
		}
	}
	return c, nil
}

// DecodeChanges decodes changed items whose keys begin with [WatchPrefix]. It skips deleted
// items.
func DecodeChanges(items []platform.Item) *Contents {
	c := &Contents{}
	for _, item := range items {
		if !item.Deleted {
			c.add(item)
		}
	}
	return c
}

// WatchPrefix is the common prefix of the keys of jobs and cancellations.
const WatchPrefix = "ladder/in/"

// add decodes an item and adds it to the contents. If that fails, it adds an error to
// DecodeErrors.
func (c *Contents) add(item platform.Item) {
	switch {
	case strings.HasPrefix(item.Key, jobPrefix):
		job, err := DecodeJob(item.Key[len(jobPrefix):], item.Value)
		if err != nil {
			c.DecodeErrors = append(c.DecodeErrors, err)
			return
		}
		job.Revision = item.ModRevision
		c.Jobs = append(c.Jobs, job)
	case strings.HasPrefix(item.Key, cancelPrefix):
		cancellation, err := decodeCancellation(item.Key[len(cancelPrefix):], item.Value)
		switch {
		case err != nil:
			c.DecodeErrors = append(c.DecodeErrors, err)
		case len(cancellation.Teams) == 0:
			c.Cancelled = append(c.Cancelled, cancellation.Job)
		default:
			c.TeamCancellations = append(c.TeamCancellations, cancellation)
		}
	case strings.HasPrefix(item.Key, recordPrefix):
		r, err := DecodeRecord(item.Key[len(recordPrefix):], item.Value)
		if err != nil {
			c.DecodeErrors = append(c.DecodeErrors, err)
			return
		}
		c.Records = append(c.Records, r)
	}
}
