package laddersettings

import (
	"net/netip"

	"lacewingladder/ladderyaml"
)

// Settings are what an entry VM's process is started with.
type Settings struct {
	Name   string
	Region string
	Zone   string
	Listen Listen
	// Store and List are the platform's addresses.
	Store netip.AddrPort
	List  netip.AddrPort
	// Peers are addresses of some peers, for a start without the platform.
	Peers []netip.AddrPort
	TLS   TLS
	// Token is what operators must present.
	Token string
	// Tokens are what members' callers must present, by member. Members
	// without one need none.
	Tokens map[string]string
	// Level is the least level of log lines: debug, info, warn or error.
	Level string
}

// Listen are the addresses of a process.
type Listen struct {
	Callers   netip.AddrPort
	Peers     netip.AddrPort
	Operators netip.AddrPort
	// Advertise is the address at which peers reach Peers, where it is another.
	Advertise netip.AddrPort
}

// TLS are the files for messages between peers, in PEM.
type TLS struct {
	Authority   string
	Certificate string
	Key         string
}

// Parse reads and checks settings. The error, if any, holds all findings.
func Parse(file string, data []byte) (*Settings, error) {
	root := ladderyaml.Parse(file, data)
	s := &Settings{
		Name:   root.Need("name").Text(),
		Region: root.Need("region").Text(),
		Zone:   root.Need("zone").Text(),
		Listen: listen(root.Need("listen")),
		Store:  root.Need("store").Address(),
		List:   root.Need("list").Address(),
		Token:  root.Need("token").Text(),
		Tokens: map[string]string{},
		Level:  level(root.Key("level")),
	}
	for _, p := range root.Key("peers").Items() {
		s.Peers = append(s.Peers, p.Address())
	}
	t := root.Need("tls")
	s.TLS = TLS{
		Authority:   t.Need("authority").Text(),
		Certificate: t.Need("certificate").Text(),
		Key:         t.Need("key").Text(),
	}
	t.Done()
	tokens := root.Key("tokens")
	for _, m := range tokens.Keys() {
		s.Tokens[m] = tokens.Key(m).Text()
		if s.Tokens[m] == "" {
			tokens.Key(m).Fault("a token must not be empty")
		}
	}
	root.Done()
	return s, root.Findings().Err()
}

// listen reads the addresses, no two of which may be the same.
func listen(r *ladderyaml.Reader) Listen {
	var l Listen
	seen := map[netip.AddrPort]string{}
	for _, f := range []struct {
		key  string
		into *netip.AddrPort
	}{{"callers", &l.Callers}, {"peers", &l.Peers}, {"operators", &l.Operators}} {
		k := r.Need(f.key)
		*f.into = k.Address()
		if !f.into.IsValid() {
			continue
		}
		if other, twice := seen[*f.into]; twice && f.into.Port() != 0 {
			k.Fault("port %d is used for %q already", f.into.Port(), other)
		}
		seen[*f.into] = f.key
	}
	l.Advertise = r.Key("advertise").Address()
	r.Done()
	return l
}

func level(r *ladderyaml.Reader) string {
	switch r.Text() {
	case "":
		return "info"
	case "debug", "info", "warn", "error":
		return r.Text()
	}
	r.Fault("level %q is not debug, info, warn or error", r.Text())
	return "info"
}
