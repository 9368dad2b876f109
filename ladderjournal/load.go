package ladderjournal

import (
	"context"
	"fmt"
	"sync"

	"lacewingladder/platform"
)

const (
	// maxReads is the number of reads of the store that a load makes at a time. More would need more memory for
	// their responses.
	maxReads = 6
	// idDigits holds the digits with which a job's id may begin, in the order of the store's keys.
	idDigits = "0123456789ABCDEFabcdef"
)

// loader reads all keys below some prefixes, several pages at a time.
type loader struct {
	ctx   context.Context
	store Store
	// slots bounds the reads in flight.
	slots chan struct{}
	wait  sync.WaitGroup
	mu    sync.Mutex
	err   error
}

// section is a range of keys: those that begin with prefix and sort after the given key.
type section struct {
	prefix, after string
	// contents is what the section holds, and revision that of the first page. They are set once the section
	// was read.
	contents *Contents
	revision int64
}

// loadPrefixes reads all keys below the given prefixes, each of which is followed by a job's id. It returns what they
// hold, in the order of the prefixes and of the keys. The first section of each prefix is that of its first page.
func (j *Journal) loadPrefixes(ctx context.Context, prefixes ...string) ([]*section, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l := &loader{ctx: ctx, store: j.store, slots: make(chan struct{}, maxReads)}
	parts := make([][]*section, len(prefixes))
	for i, prefix := range prefixes {
		l.wait.Go(func() { parts[i] = l.readPrefix(prefix) })
	}
	l.wait.Wait()
	var all []*section
	for _, p := range parts {
		all = append(all, p...)
	}
	return all, l.err
}

// readPrefix reads the first page below a prefix and begins to read the rest, divided by the first digit of the id.
func (l *loader) readPrefix(prefix string) []*section {
	first := &section{prefix: prefix, contents: &Contents{}}
	last, more := l.readPage(first)
	sections := []*section{first}
	if !more {
		return sections
	}
	for _, digit := range idDigits {
		s := &section{prefix: prefix + string(digit), contents: &Contents{}}
		switch digits := last[:min(len(last), len(s.prefix))]; {
		case s.prefix < digits:
			continue
		case s.prefix == digits:
			s.after = last
		}
		sections = append(sections, s)
		l.wait.Go(func() {
			for more := true; more; {
				s.after, more = l.readPage(s)
			}
		})
	}
	return sections
}

// pageAttempts is how often a page is read before the load fails.
const pageAttempts = 3

// readPage reads a page of a section and adds it to the section's contents. It returns the page's last key, and
// whether there are more pages.
func (l *loader) readPage(s *section) (last string, more bool) {
	l.slots <- struct{}{}
	defer func() { <-l.slots }()
	var page platform.Page
	var err error
	for range pageAttempts {
		if err = l.ctx.Err(); err != nil || l.failed() {
			break
		}
		if page, err = l.store.Range(l.ctx, s.prefix, s.after); err == nil {
			break
		}
	}
	if err != nil {
		l.fail(fmt.Errorf("read %s after key %q: %w", s.prefix, s.after, err))
		return "", false
	}
	if s.revision == 0 {
		s.revision = page.Revision
	}
	for _, item := range page.Items {
		s.contents.add(item)
		last = item.Key
	}
	return last, page.More && len(page.Items) > 0
}

func (l *loader) failed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err != nil
}

func (l *loader) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err == nil {
		l.err = err
	}
}

// merge adds what a section holds.
func (c *Contents) merge(o *Contents) {
	c.Jobs, c.Records = append(c.Jobs, o.Jobs...), append(c.Records, o.Records...)
	c.Cancelled, c.TeamCancellations = append(c.Cancelled, o.Cancelled...), append(c.TeamCancellations, o.TeamCancellations...)
	c.DecodeErrors = append(c.DecodeErrors, o.DecodeErrors...)
}
