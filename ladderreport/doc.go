// Package ladderreport measures waiting time and packing against load, and plots
// them.
//
// An experiment starts one small fleet for each rule of choosing holders, and
// replays the same seeded trace of urgent requests on it at each load. The fleets
// run one after the other in the same process, so that the rules stand side by
// side on the same machine.
//
// # Usage
//
//	points, err := ladderreport.Measure(ctx, ladderreport.Options{Dir: dir, Length: 6 * time.Second})
//	err = ladderreport.Table(os.Stdout, points)
//	err = ladderreport.Plot("out", points)
package ladderreport
