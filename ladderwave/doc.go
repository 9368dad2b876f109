// Package ladderwave decides which machine of a wave of upkeep goes down next.
//
// A [Wave] is told what the machines' service lists, and says which machines to
// empty and which to order down. Machines go down only while fewer than the wave
// allows are down, the emptiest first; a machine that still works is emptied while
// time allows, and ordered down anyway once the wave would be late otherwise.
//
// # Usage
//
//	w := ladderwave.New(now, wave, wait)
//	w.Seen(machines)
//	next := w.Next(now, load)
package ladderwave
