// Package ladderproof holds the proofs of the core under a seeded interleaver.
//
// The tests run the real holders, dispatchers, key books and attempt rules of
// several entry VMs against the state machines of stand-in workers. Every message
// between them is in the interleaver's hands: it is delayed, lost, doubled or
// overtaken, its answer is lost after it took effect, clocks drift, entry VMs
// pause, die and come back, views of who should hold a rack differ, and workers
// restart. After each step the invariants are checked against the workers' own
// records. The package has no code of its own.
//
// # Usage
//
//	go test ./ladderproof
//	go test ./ladderproof -rapid.checks=5000 -rapid.seed=0
//
// The first uses a fixed seed; the second draws new ones.
package ladderproof
