// Package ladderproof checks the scheduler's safety invariants in randomized simulations.
//
// Each simulation runs in one process. The rapid library draws a sequence of actions
// from a seed, so a failure can be reproduced from its seed. Messages are delayed, lost,
// reordered or delivered while their replies are lost, processes restart, and clocks
// drift. The invariants are checked after each action.
//
// There are two simulations:
//
//   - TestInvariantsUnderInterleaving runs several entry VMs with their production holders,
//     dispatchers and books of idempotency keys against stand-in workers of ladderstand. In
//     addition, starts are duplicated, entry VMs pause and crash, and the VMs disagree about
//     who should hold a rack, that is, have the claims on its workers.
//   - TestFlowUnderInterleaving runs the production planner and journal of several leaders,
//     some of which have lost an election without knowing it. Workers, the store's
//     faults and delegates are simulated. TestFlowGangsOfLeadersThatResign adds leaders that
//     resign half way through their orders, and TestFlowQuotas adds teams whose quotas change.
//
// The package contains only tests.
//
// # Usage
//
//	go test ./ladderproof
//	go test ./ladderproof -rapid.checks=5000 -rapid.seed=0
//
// The first command uses a fixed seed, the second a new random one.
package ladderproof
