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

// MaxBytes is the size of the largest document that is read, in bytes.
const MaxBytes = 1 << 20

// maxDepth is the largest number of levels to which values may be nested.
const maxDepth = 32

// Reader reads one value of a document. A reader of a missing value is valid; its
// methods return default values.
type Reader struct {
	doc *document
	// node is the value, or nil if it is missing.
	node *yaml.Node
	// path names the value within the document, such as defaults.zones[0].name.
	path string
	// If the value is a mapping, fields holds the readers of its values by key,
	// keys holds its keys in the order of the document, and wasRead holds the keys
	// that have been read. Otherwise all three are nil.
	fields  map[string]*Reader
	keys    []string
	wasRead map[string]bool
}

// document is the state that all readers of a document share.
type document struct {
	file     string
	findings ladderfinding.List
	// broken is true if the document could not be read at all. Missing keys are
	// then not reported as findings.
	broken bool
}

// Parse returns a reader of the document's root value. If the document cannot be
// read, Parse adds a finding and returns a reader of a missing value.
func Parse(file string, data []byte) *Reader {
	d := &document{file: file, broken: true}
	r := &Reader{doc: d}
	if len(data) > MaxBytes {
		d.findings.Add(ladderfinding.Place{File: file}, "the document has %d bytes; at most %d are read", len(data), MaxBytes)
		return r
	}
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		place, text := syntaxError(file, err)
		d.findings.Add(place, "%s", text)
		return r
	}
	if len(root.Content) != 1 {
		d.findings.Add(ladderfinding.Place{File: file, Line: 1, Column: 1}, "the document is empty")
		return r
	}
	if !isSupported(&root, 0) {
		d.findings.Add(ladderfinding.Place{File: file, Line: 1, Column: 1},
			"the document uses aliases or is nested more than %d deep", maxDepth)
		return r
	}
	d.broken = false
	return d.newReader(root.Content[0], "")
}

// isSupported reports whether a tree has no aliases and is nested at most maxDepth
// levels deep.
func isSupported(n *yaml.Node, depth int) bool {
	if n.Kind == yaml.AliasNode || depth > maxDepth {
		return false
	}
	for _, child := range n.Content {
		if !isSupported(child, depth+1) {
			return false
		}
	}
	return true
}

// syntaxError splits an error of the YAML parser into its place and its text.
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

// newReader returns a reader of a node. If the node is a mapping, newReader also
// creates the readers of its values, and adds a finding for each duplicate key.
func (d *document) newReader(n *yaml.Node, path string) *Reader {
	r := &Reader{doc: d, node: n, path: path}
	if n.Kind != yaml.MappingNode {
		return r
	}
	r.fields, r.wasRead = map[string]*Reader{}, map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key := n.Content[i]
		if _, duplicate := r.fields[key.Value]; duplicate {
			d.findings.Add(d.place(key), "key %q is given twice", key.Value)
			continue
		}
		r.fields[key.Value] = d.newReader(n.Content[i+1], joinPath(path, key.Value))
		r.keys = append(r.keys, key.Value)
	}
	return r
}

// place returns the position of a node, or of the whole document if the node is
// nil.
func (d *document) place(n *yaml.Node) ladderfinding.Place {
	if n == nil {
		return ladderfinding.Place{File: d.file}
	}
	return ladderfinding.Place{File: d.file, Line: n.Line, Column: n.Column}
}

// joinPath returns the path of a key in the mapping at the given path.
func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Findings returns the findings that have been added for the document so far.
func (r *Reader) Findings() *ladderfinding.List { return &r.doc.findings }

// Present reports whether the document has the value and it is not null.
func (r *Reader) Present() bool { return r.node != nil && r.node.Tag != "!!null" }

// Place returns the position of the value in the document.
func (r *Reader) Place() ladderfinding.Place { return r.doc.place(r.node) }

// AddFinding adds a finding at the value's place. The text is formatted as by
// [fmt.Sprintf] and is preceded by the value's path.
func (r *Reader) AddFinding(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if r.path != "" {
		text = r.path + ": " + text
	}
	r.doc.findings.Add(r.Place(), "%s", text)
}

// Key returns a reader of the value of a mapping's key, and marks the key as read.
// If r is present but not a mapping, Key adds a finding and treats r as missing
// from then on.
func (r *Reader) Key(name string) *Reader {
	if r.wasRead != nil {
		r.wasRead[name] = true
		if field, ok := r.fields[name]; ok {
			return field
		}
	} else if r.Present() {
		r.AddFinding("this must be a mapping with the key %q", name)
		r.node = nil
	}
	return &Reader{doc: r.doc, path: joinPath(r.path, name)}
}

// RequiredKey is like [Reader.Key], but also adds a finding if the value is missing.
func (r *Reader) RequiredKey(name string) *Reader {
	field := r.Key(name)
	if !field.Present() && !r.doc.broken {
		r.AddFinding("the key %q is missing", name)
	}
	return field
}

// Keys returns the keys of a mapping in the order of the document, and marks all
// of them as read.
func (r *Reader) Keys() []string {
	if r.Present() && r.wasRead == nil {
		r.AddFinding("this must be a mapping")
		return nil
	}
	for _, name := range r.keys {
		r.wasRead[name] = true
	}
	return r.keys
}

// Items returns a reader of each value of a list.
func (r *Reader) Items() []*Reader {
	if !r.Present() {
		return nil
	}
	if r.node.Kind != yaml.SequenceNode {
		r.AddFinding("this must be a list")
		return nil
	}
	items := make([]*Reader, 0, len(r.node.Content))
	for i, n := range r.node.Content {
		items = append(items, r.doc.newReader(n, fmt.Sprintf("%s[%d]", r.path, i)))
	}
	return items
}

// CheckUnknownKeys adds a finding for each key of a mapping that has not been read.
// Such a key is unknown to the caller.
func (r *Reader) CheckUnknownKeys() {
	for _, name := range r.keys {
		if !r.wasRead[name] {
			r.fields[name].AddFinding("this key is unknown")
		}
	}
}

// Text returns the value as a string, or an empty string if it is missing or not
// a single value.
func (r *Reader) Text() string {
	if !r.Present() {
		return ""
	}
	if r.node.Kind != yaml.ScalarNode {
		r.AddFinding("this must be a single value")
		return ""
	}
	return r.node.Value
}

// Duration returns a duration of at least zero, written like 250ms. It returns the
// fallback if the value is missing or not valid.
func (r *Reader) Duration(fallback time.Duration) time.Duration {
	if !r.Present() {
		return fallback
	}
	d, err := time.ParseDuration(r.Text())
	if err != nil || d < 0 {
		r.AddFinding("%q is not a duration such as 250ms or 3s", r.Text())
		return fallback
	}
	return d
}

// WholeNumber returns a whole number of at least zero, or the fallback if the value
// is missing or not valid.
func (r *Reader) WholeNumber(fallback int) int {
	if !r.Present() {
		return fallback
	}
	n, err := strconv.Atoi(r.Text())
	if err != nil || n < 0 {
		r.AddFinding("%q is not a whole number", r.Text())
		return fallback
	}
	return n
}

// Bool returns a Boolean value, or the fallback if the value is missing or neither
// true nor false.
func (r *Reader) Bool(fallback bool) bool {
	if !r.Present() {
		return fallback
	}
	switch r.Text() {
	case "true":
		return true
	case "false":
		return false
	}
	r.AddFinding("%q is not true or false", r.Text())
	return fallback
}

// Ratio returns a percentage, written like 10%, as a fraction: 10% is 0.1. It
// returns the fallback if the value is missing or not valid.
func (r *Reader) Ratio(fallback float64) float64 {
	if !r.Present() {
		return fallback
	}
	digits, ok := strings.CutSuffix(r.Text(), "%")
	percent, err := strconv.ParseFloat(digits, 64)
	if !ok || err != nil || !(percent >= 0 && percent <= 100) { // NaN fails both comparisons.
		r.AddFinding("%q is not a share such as 10%%", r.Text())
		return fallback
	}
	return percent / 100
}

// byteUnits holds the units that [Reader.Bytes] accepts. B comes last because it is
// a suffix of all others.
var byteUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"TiB", 1 << 40}, {"B", 1}}

// Bytes returns an amount of data in bytes, written like 256MiB. It returns the
// fallback if the value is missing or not valid.
func (r *Reader) Bytes(fallback int64) int64 {
	if !r.Present() {
		return fallback
	}
	for _, unit := range byteUnits {
		digits, ok := strings.CutSuffix(r.Text(), unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err == nil && n >= 0 && n <= (1<<62)/unit.bytes {
			return n * unit.bytes
		}
		break
	}
	r.AddFinding("%q is not an amount such as 256MiB or 4KiB", r.Text())
	return fallback
}

// Millicores returns a number of processor cores, written like 500m or 2, in
// thousandths of a core. It returns the fallback if the value is missing or not
// valid.
func (r *Reader) Millicores(fallback int) int {
	if !r.Present() {
		return fallback
	}
	text, scale := r.Text(), 1000
	if digits, ok := strings.CutSuffix(text, "m"); ok {
		text, scale = digits, 1
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > 1_000_000 {
		r.AddFinding("%q is not an amount of cores such as 500m or 2", r.Text())
		return fallback
	}
	return n * scale
}

// Address returns an IP address with a port, or the zero AddrPort if the value is
// missing or not valid.
func (r *Reader) Address() netip.AddrPort {
	if !r.Present() {
		return netip.AddrPort{}
	}
	a, err := netip.ParseAddrPort(r.Text())
	if err != nil {
		r.AddFinding("%q is not an IP address with a port", r.Text())
	}
	return a
}

// HasKey reports whether the value is a mapping with the given key. It does not
// mark the key as read.
func (r *Reader) HasKey(name string) bool {
	_, ok := r.fields[name]
	return ok
}

// Number returns a number of at least zero, or the fallback if the value is missing
// or not valid.
func (r *Reader) Number(fallback float64) float64 {
	if !r.Present() {
		return fallback
	}
	f, err := strconv.ParseFloat(r.Text(), 64)
	if err != nil || !(f >= 0 && f <= math.MaxInt32) { // NaN fails both comparisons.
		r.AddFinding("%q is not a number, at least zero", r.Text())
		return fallback
	}
	return f
}
