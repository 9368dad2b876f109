package ladderyaml

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"lacewingladder/ladderfinding"
)

// MaxBytes is the largest document that is read, in bytes.
const MaxBytes = 1 << 20

// maxDepth bounds how deeply values may be nested.
const maxDepth = 32

// Reader reads one value of a document. A reader of a missing value is valid and
// returns defaults.
type Reader struct {
	doc  *document
	node *yaml.Node
	path string
	// fields and read are those of a mapping.
	fields map[string]*Reader
	order  []string
	read   map[string]bool
}

type document struct {
	file string
	list ladderfinding.List
	// broken is true when the document could not be read at all, so that missing
	// keys are no findings of their own.
	broken bool
}

// Parse returns a reader of the document's only value.
func Parse(file string, data []byte) *Reader {
	d := &document{file: file, broken: true}
	r := &Reader{doc: d}
	if len(data) > MaxBytes {
		d.list.Add(ladderfinding.Place{File: file}, "the document has %d bytes; at most %d are read", len(data), MaxBytes)
		return r
	}
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		place, text := syntaxError(file, err)
		d.list.Add(place, "%s", text)
		return r
	}
	if len(root.Content) != 1 {
		d.list.Add(ladderfinding.Place{File: file, Line: 1, Column: 1}, "the document is empty")
		return r
	}
	if !plain(&root, 0) {
		d.list.Add(ladderfinding.Place{File: file, Line: 1, Column: 1},
			"the document uses aliases or is nested more than %d deep", maxDepth)
		return r
	}
	d.broken = false
	return d.reader(root.Content[0], "")
}

// plain reports whether a tree has no aliases and a bounded depth.
func plain(n *yaml.Node, depth int) bool {
	if n.Kind == yaml.AliasNode || depth > maxDepth {
		return false
	}
	for _, c := range n.Content {
		if !plain(c, depth+1) {
			return false
		}
	}
	return true
}

// syntaxError takes a syntax error apart into its place and its text.
func syntaxError(file string, err error) (ladderfinding.Place, string) {
	place := ladderfinding.Place{File: file, Line: 1, Column: 1}
	text := strings.TrimPrefix(err.Error(), "yaml: ")
	after, found := strings.CutPrefix(text, "line ")
	if !found {
		return place, text
	}
	digits, rest, _ := strings.Cut(after, ": ")
	if line, err := strconv.Atoi(digits); err == nil {
		place.Line, text = line, rest
	}
	return place, text
}

func (d *document) reader(n *yaml.Node, path string) *Reader {
	r := &Reader{doc: d, node: n, path: path}
	if n.Kind != yaml.MappingNode {
		return r
	}
	r.fields, r.read = map[string]*Reader{}, map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		if _, twice := r.fields[key.Value]; twice {
			d.list.Add(d.place(key), "key %q is given twice", key.Value)
			continue
		}
		r.fields[key.Value] = d.reader(n.Content[i+1], join(path, key.Value))
		r.order = append(r.order, key.Value)
	}
	return r
}

func (d *document) place(n *yaml.Node) ladderfinding.Place {
	if n == nil {
		return ladderfinding.Place{File: d.file}
	}
	return ladderfinding.Place{File: d.file, Line: n.Line, Column: n.Column}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Findings returns all findings of the document so far.
func (r *Reader) Findings() *ladderfinding.List { return &r.doc.list }

// Present reports whether the document has the value.
func (r *Reader) Present() bool { return r.node != nil && r.node.Tag != "!!null" }

// Place returns where the value stands.
func (r *Reader) Place() ladderfinding.Place { return r.doc.place(r.node) }

// Fault adds a finding at the value's place, led by its path.
func (r *Reader) Fault(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if r.path != "" {
		text = r.path + ": " + text
	}
	r.doc.list.Add(r.Place(), "%s", text)
}

// Key returns the reader of a mapping's key.
func (r *Reader) Key(name string) *Reader {
	if r.read != nil {
		r.read[name] = true
		if f, ok := r.fields[name]; ok {
			return f
		}
	} else if r.Present() {
		r.Fault("this must be a mapping with the key %q", name)
		r.node = nil
	}
	return &Reader{doc: r.doc, path: join(r.path, name)}
}

// Need is like Key, and finds fault with a missing value.
func (r *Reader) Need(name string) *Reader {
	k := r.Key(name)
	if !k.Present() && !r.doc.broken {
		r.Fault("the key %q is missing", name)
	}
	return k
}

// Keys returns the names of a mapping's keys in their order, and counts all of
// them as read.
func (r *Reader) Keys() []string {
	if r.Present() && r.read == nil {
		r.Fault("this must be a mapping")
		return nil
	}
	for _, name := range r.order {
		r.read[name] = true
	}
	return r.order
}

// Items returns readers of a sequence's values.
func (r *Reader) Items() []*Reader {
	if !r.Present() {
		return nil
	}
	if r.node.Kind != yaml.SequenceNode {
		r.Fault("this must be a list")
		return nil
	}
	items := make([]*Reader, 0, len(r.node.Content))
	for i, n := range r.node.Content {
		items = append(items, r.doc.reader(n, fmt.Sprintf("%s[%d]", r.path, i)))
	}
	return items
}

// Done finds fault with the keys of a mapping that were not asked for.
func (r *Reader) Done() {
	for _, name := range r.order {
		if !r.read[name] {
			r.fields[name].Fault("this key is unknown")
		}
	}
}

// Text returns a string, or an empty one.
func (r *Reader) Text() string {
	if !r.Present() {
		return ""
	}
	if r.node.Kind != yaml.ScalarNode {
		r.Fault("this must be a single value")
		return ""
	}
	return r.node.Value
}

// Duration returns a duration such as 250ms, at least zero.
func (r *Reader) Duration(standard time.Duration) time.Duration {
	if !r.Present() {
		return standard
	}
	d, err := time.ParseDuration(r.Text())
	if err != nil || d < 0 {
		r.Fault("%q is not a duration such as 250ms or 3s", r.Text())
		return standard
	}
	return d
}

// Count returns a whole number, at least zero.
func (r *Reader) Count(standard int) int {
	if !r.Present() {
		return standard
	}
	n, err := strconv.Atoi(r.Text())
	if err != nil || n < 0 {
		r.Fault("%q is not a whole number", r.Text())
		return standard
	}
	return n
}

// Flag returns true or false.
func (r *Reader) Flag(standard bool) bool {
	if !r.Present() {
		return standard
	}
	switch r.Text() {
	case "true":
		return true
	case "false":
		return false
	}
	r.Fault("%q is not true or false", r.Text())
	return standard
}

// Ratio returns a share such as 10%.
func (r *Reader) Ratio(standard float64) float64 {
	if !r.Present() {
		return standard
	}
	digits, ok := strings.CutSuffix(r.Text(), "%")
	f, err := strconv.ParseFloat(digits, 64)
	if !ok || err != nil || f < 0 || f > 100 {
		r.Fault("%q is not a share such as 10%%", r.Text())
		return standard
	}
	return f / 100
}

// byteUnits are the units of Bytes.
var byteUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"TiB", 1 << 40}, {"B", 1}}

// Bytes returns an amount such as 256MiB, in bytes.
func (r *Reader) Bytes(standard int64) int64 {
	if !r.Present() {
		return standard
	}
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(r.Text(), u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err == nil && n >= 0 && n <= (1<<62)/u.bytes {
			return n * u.bytes
		}
		break
	}
	r.Fault("%q is not an amount such as 256MiB or 4KiB", r.Text())
	return standard
}

// Millicores returns processor time such as 500m or 2, in thousandths of a core.
func (r *Reader) Millicores(standard int) int {
	if !r.Present() {
		return standard
	}
	text, scale := r.Text(), 1000
	if digits, ok := strings.CutSuffix(text, "m"); ok {
		text, scale = digits, 1
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > 1_000_000 {
		r.Fault("%q is not an amount of cores such as 500m or 2", r.Text())
		return standard
	}
	return n * scale
}

// Address returns an IP address with a port.
func (r *Reader) Address() netip.AddrPort {
	if !r.Present() {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(r.Text())
	if err != nil {
		r.Fault("%q is not an IP address with a port", r.Text())
	}
	return a
}

// Has reports whether the value is a mapping with the given key, and does not
// count the key as read.
func (r *Reader) Has(name string) bool {
	_, ok := r.fields[name]
	return ok
}

// Number returns a number, at least zero.
func (r *Reader) Number(standard float64) float64 {
	if !r.Present() {
		return standard
	}
	f, err := strconv.ParseFloat(r.Text(), 64)
	if err != nil || f < 0 || f > math.MaxInt32 {
		r.Fault("%q is not a number, at least zero", r.Text())
		return standard
	}
	return f
}
