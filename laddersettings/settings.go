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
	// Store is the address of the platform's store, and VMList the address of the
	// platform's list of VMs.
	Store  netip.AddrPort
	VMList netip.AddrPort
	// SeedPeers holds the addresses of some other entry VMs, so that the process can
	// find its peers while the platform cannot be reached.
	SeedPeers []netip.AddrPort
	TLS       TLS
	// OperatorToken is the bearer token that operators must present.
	OperatorToken string
	// CallerTokens holds the bearer tokens that callers must present, by member.
	// Callers of a member without a token need not present one.
	CallerTokens map[string]string
	// LogLevel is the lowest level at which log lines are written: debug, info, warn
	// or error.
	LogLevel string
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
// [*lacewingladder/ladderfinding.Error] that holds all findings.
func Parse(file string, data []byte) (*Settings, error) {
	root := ladderyaml.Parse(file, data)
	s := &Settings{
		Name:          root.RequiredKey("name").Text(),
		Region:        root.RequiredKey("region").Text(),
		Zone:          root.RequiredKey("zone").Text(),
		Listen:        readListen(root.RequiredKey("listen")),
		Store:         root.RequiredKey("store").Address(),
		VMList:        root.RequiredKey("list").Address(),
		OperatorToken: root.RequiredKey("token").Text(),
		CallerTokens:  map[string]string{},
		LogLevel:      readLevel(root.Key("level")),
	}
	for _, peer := range root.Key("peers").Items() {
		s.SeedPeers = append(s.SeedPeers, peer.Address())
	}
	tls := root.RequiredKey("tls")
	s.TLS = TLS{
		Authority:   tls.RequiredKey("authority").Text(),
		Certificate: tls.RequiredKey("certificate").Text(),
		Key:         tls.RequiredKey("key").Text(),
	}
	tls.CheckUnknownKeys()
	tokens := root.Key("tokens")
	for _, member := range tokens.Keys() {
		s.CallerTokens[member] = tokens.Key(member).Text()
		if s.CallerTokens[member] == "" {
			tokens.Key(member).AddFinding("a token must not be empty")
		}
	}
	root.CheckUnknownKeys()
	return s, root.Findings().Err()
}

// readListen reads the addresses of a process, and adds a finding if two of them
// are equal. Port 0 means any free port and may be used several times.
func readListen(r *ladderyaml.Reader) Listen {
	var listen Listen
	usedBy := map[netip.AddrPort]string{}
	for _, field := range []struct {
		key     string
		address *netip.AddrPort
	}{{"callers", &listen.Callers}, {"peers", &listen.Peers}, {"operators", &listen.Operators}} {
		reader := r.RequiredKey(field.key)
		*field.address = reader.Address()
		if !field.address.IsValid() {
			continue
		}
		if other, duplicate := usedBy[*field.address]; duplicate && field.address.Port() != 0 {
			reader.AddFinding("port %d is used for %q already", field.address.Port(), other)
		}
		usedBy[*field.address] = field.key
	}
	listen.Advertise = r.Key("advertise").Address()
	r.CheckUnknownKeys()
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
	r.AddFinding("level %q is not debug, info, warn or error", r.Text())
	return "info"
}
