// Package ladderfanout decides how a VM follows the operators' keys in the store, which hold
// the configuration.
//
// The keys can hold a megabyte, and the VMs of a region share one link to the store. So only a
// few VMs wait at the store for changes, the readers. They are VMs of the leader's region, since
// VMs close to the store are elected first. A VM that learns of a change from the store offers
// it to all others. Those of its own region fetch the difference from it, and so do a few in each
// other region, which then offer it there. An offer says up to which revision of the store it
// is complete, so that the receiver continues from there.
//
// The other VMs do not rely on the readers. They poll the store from their last revision: if the
// offer came, the poll returns nothing. Whichever polls first after a change offers it to all.
//
// A VM that the store does not answer still gets offers. Since those may be lost, it can also ask two of its
// peers for changes, others each time, until the store answers.
//
// The package opens no connection and reads no clock.
//
// # Usage
//
//	feed := ladderfanout.NewFeed(now, jitter)
//	for {
//		switch action, at := feed.Next(now, fleet.Place()); action {
//		case ladderfanout.Watch:
//			// Wait at the store for changes after feed.Revision(), then call Synced or Lost,
//			// and offer what is new to fleet.Targets("").
//		...
//		}
//	}
package ladderfanout
