// Package ladderreport measures how waiting times and the use of slots depend on
// the load, and plots the results.
//
// An experiment compares the rules by which an entry VM chooses the holder to which
// it sends a request. A holder is an entry VM with claims on workers. For each rule,
// the experiment starts a small fleet and replays a trace of urgent requests on it
// at each load. The traces are generated from a fixed seed, so that all rules get
// the same requests. The fleets run one after the other in the same process on the
// same machine, so that the results of the rules can be compared.
//
// # Usage
//
//	points, err := ladderreport.Measure(ctx, ladderreport.Options{Dir: dir, Length: 6 * time.Second})
//	err = ladderreport.WriteTable(os.Stdout, points)
//	err = ladderreport.WritePlots("out", points)
package ladderreport
