package laddersettings

import (
	"net/netip"

	"lacewingladder/ladderyaml"
)

// Settings holds the settings with which an entry VM's process starts.
type Settings struct {
	Name   string
	Region string
	Zone   string
	Listen Listen
	// Store is the address of the platform's store, and List the address of the
	// platform's list of VMs.
	Store netip.AddrPort
	List  netip.AddrPort
	// Peers holds the addresses of some other entry VMs, so that the process can
	// find its peers while the platform cannot be reached.
	Peers []netip.AddrPort
	TLS   TLS
	// Token is the bearer token that operators must present.
	Token string
	// Tokens holds the bearer tokens that callers must present, by member. Callers
	// of a member without a token need not present one.
	Tokens map[string]string
	// Level is the lowest level at which log lines are written: debug, info, warn
	// or error.
	Level string
}

// Listen holds the addresses on which a process accepts connections.
type Listen struct {
	Callers   netip.AddrPort
	Peers     netip.AddrPort
	Operators netip.AddrPort
	// Advertise is the address by which peers reach the process, if it differs from
	// Peers.
	Advertise netip.AddrPort
}

// TLS holds the paths of the PEM files for connections between peers.
type TLS struct {
	Authority   string
	Certificate string
	Key         string
}

// Parse reads and checks settings. The error, if any, is a
// [*ladderfinding.Error] that holds all findings.
func Parse(file string, data []byte) (*Settings, error) {
	root := ladderyaml.Parse(file, data)
	s := &Settings{
		Name:   root.Need("name").Text(),
		Region: root.Need("region").Text(),
		Zone:   root.Need("zone").Text(),
		Listen: readListen(root.Need("listen")),
		Store:  root.Need("store").Address(),
		List:   root.Need("list").Address(),
		Token:  root.Need("token").Text(),
		Tokens: map[string]string{},
		Level:  readLevel(root.Key("level")),
	}
	for _, peer := range root.Key("peers").Items() {
		s.Peers = append(s.Peers, peer.Address())
	}
	tls := root.Need("tls")
	s.TLS = TLS{
		Authority:   tls.Need("authority").Text(),
		Certificate: tls.Need("certificate").Text(),
		Key:         tls.Need("key").Text(),
	}
	tls.Done()
	tokens := root.Key("tokens")
	for _, member := range tokens.Keys() {
		s.Tokens[member] = tokens.Key(member).Text()
		if s.Tokens[member] == "" {
			tokens.Key(member).Fault("a token must not be empty")
		}
	}
	root.Done()
	return s, root.Findings().Err()
}

// readListen reads the addresses of a process, and adds a finding if two of them
// are equal. Port 0 means any free port and may be used several times.
func readListen(r *ladderyaml.Reader) Listen {
	var listen Listen
	usedBy := map[netip.AddrPort]string{}
	for _, entry := range []struct {
		key     string
		address *netip.AddrPort
	}{{"callers", &listen.Callers}, {"peers", &listen.Peers}, {"operators", &listen.Operators}} {
		reader := r.Need(entry.key)
		*entry.address = reader.Address()
		if !entry.address.IsValid() {
			continue
		}
		if other, duplicate := usedBy[*entry.address]; duplicate && entry.address.Port() != 0 {
			reader.Fault("port %d is used for %q already", entry.address.Port(), other)
		}
		usedBy[*entry.address] = entry.key
	}
	listen.Advertise = r.Key("advertise").Address()
	r.Done()
	return listen
}

// readLevel reads a log level. The default is info.
func readLevel(r *ladderyaml.Reader) string {
	switch r.Text() {
	case "":
		return "info"
	case "debug", "info", "warn", "error":
		return r.Text()
	}
	r.Fault("level %q is not debug, info, warn or error", r.Text())
	return "info"
}
