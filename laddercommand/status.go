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

// status shows what an entry VM knows.
type status struct {
	client
	json bool
}

func (*status) Name() string     { return "status" }
func (*status) Synopsis() string { return "show members, zones, racks, workers and versions" }
func (*status) Usage() string {
	return `status -to ADDR [-json]
  Show what an entry VM knows of itself, its peers, the racks and their holders,
  the workers, the configuration's version on each VM, and the platform's store.
`
}

func (s *status) SetFlags(f *flag.FlagSet) {
	s.setFlags(f)
	f.BoolVar(&s.json, "json", false, "print JSON")
}

func (s *status) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if len(s.to) != 1 || f.NArg() > 0 {
		return s.misuse("status: give -to ADDR and no arguments")
	}
	data, err := s.must(ctx, "GET", "/v1/status", nil, nil)
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

// printStatus writes a status for people.
func printStatus(w io.Writer, st ladderserver.Status) error {
	out := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(out, "%s\tzone %s, region %s\tversion %d\tstore %s\tqueue led by %s\n",
		st.Name, st.Zone, st.Region, st.Version, st.Store, orNone(st.Leader))
	_, _ = fmt.Fprintln(out, "\nPEER\tZONE\tVERSION\tSTATE\tHEARD")
	for _, p := range st.Peers {
		_, _ = fmt.Fprintf(out, "%s\t%s\t%d\t%s\t%s\n", p.Name, p.Zone, p.Version, peerState(p), p.Heard)
	}
	_, _ = fmt.Fprintln(out, "\nRACK\tZONE\tHOLDER\tHOME\tFREE SLOTS")
	for _, r := range st.Racks {
		_, _ = fmt.Fprintf(out, "%s\t%s\t%s\t%v\t%d\n", r.Name, r.Zone, r.Holder, r.Home, r.Free)
	}
	zones := map[string][2]int{}
	var order []string
	for _, x := range st.Workers {
		n, ok := zones[x.Zone]
		if !ok {
			order = append(order, x.Zone)
		}
		n[0]++
		if x.Leaving {
			n[1]++
		}
		zones[x.Zone] = n
	}
	_, _ = fmt.Fprintln(out, "\nZONE\tWORKERS\tLEAVING")
	for _, z := range order {
		_, _ = fmt.Fprintf(out, "%s\t%d\t%d\n", z, zones[z][0], zones[z][1])
	}
	return out.Flush()
}

func peerState(p ladderserver.PeerStatus) string {
	switch {
	case !p.Live:
		return "silent"
	case p.Draining:
		return "draining"
	}
	return "live"
}

func orNone(name string) string {
	if name == "" {
		return "nobody"
	}
	return name
}
