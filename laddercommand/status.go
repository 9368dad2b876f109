package laddercommand

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/google/subcommands"

	"lacewingladder/ladderserver"
)

// status is the subcommand that prints what an entry VM knows about itself and the fleet.
type status struct {
	client
	json bool
}

func (*status) Name() string     { return "status" }
func (*status) Synopsis() string { return "show members, zones, racks, workers and versions" }
func (*status) Usage() string {
	return `status -to ADDR [-json]
  Show what an entry VM knows about itself, its peers, the racks and their holders,
  the workers, the configuration's version on each VM, and the platform's store.
`
}

func (s *status) SetFlags(f *flag.FlagSet) {
	s.setFlags(f)
	f.BoolVar(&s.json, "json", false, "print the status as JSON")
}

func (s *status) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if len(s.to) != 1 || f.NArg() > 0 {
		return s.usageError("status: give -to ADDR and no arguments")
	}
	data, err := s.callBody(ctx, "GET", "/v1/status", nil, nil)
	if err != nil {
		return s.fail(err)
	}
	if s.json {
		_, _ = s.out.Write(data)
		return subcommands.ExitSuccess
	}
	var st ladderserver.Status
	if err := json.Unmarshal(data, &st); err != nil {
		return s.fail(err)
	}
	if err := printStatus(s.out, st); err != nil {
		return s.fail(err)
	}
	return subcommands.ExitSuccess
}

// printStatus writes a status as text.
func printStatus(w io.Writer, st ladderserver.Status) error {
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(out, "%s\tzone %s, region %s\tversion %d\tstore %s\tqueue led by %s\n",
		st.Name, st.Zone, st.Region, st.Version, st.Store, orNobody(st.Leader))
	_, _ = fmt.Fprintln(out, "\nPEER\tZONE\tVERSION\tSTATE\tHEARD")
	for _, peer := range st.Peers {
		_, _ = fmt.Fprintf(out, "%s\t%s\t%d\t%s\t%s\n", peer.Name, peer.Zone, peer.Version, peerState(peer), peer.Heard)
	}
	_, _ = fmt.Fprintln(out, "\nRACK\tZONE\tHOLDER\tHOME\tFREE SLOTS")
	for _, rack := range st.Racks {
		_, _ = fmt.Fprintf(out, "%s\t%s\t%s\t%v\t%d\n", rack.Name, rack.Zone, rack.Holder, rack.Home, rack.Free)
	}
	// counts holds, for each zone, the number of workers and how many of them are leaving.
	counts := map[string][2]int{}
	var zones []string
	for _, worker := range st.Workers {
		n, ok := counts[worker.Zone]
		if !ok {
			zones = append(zones, worker.Zone)
		}
		n[0]++
		if worker.Leaving {
			n[1]++
		}
		counts[worker.Zone] = n
	}
	_, _ = fmt.Fprintln(out, "\nZONE\tWORKERS\tLEAVING")
	for _, zone := range zones {
		_, _ = fmt.Fprintf(out, "%s\t%d\t%d\n", zone, counts[zone][0], counts[zone][1])
	}
	return out.Flush()
}

// peerState returns the text for the state of a peer.
func peerState(p ladderserver.PeerStatus) string {
	switch {
	case !p.Live:
		return "silent"
	case p.Draining:
		return "draining"
	}
	return "live"
}

// orNobody returns the name, or "nobody" if it is empty.
func orNobody(name string) string {
	if name == "" {
		return "nobody"
	}
	return name
}
