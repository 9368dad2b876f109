// Package ladderplatform reads the list of VMs from which the direct path learns of
// workers and peers. The store is met through package platform.
//
// # Usage
//
//	lister := ladderplatform.NewLister(address)
//	listing, findings, err := lister.List(ctx)
package ladderplatform
