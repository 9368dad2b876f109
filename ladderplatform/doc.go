// Package ladderplatform reads the platform's list of VMs, which names the workers
// and the entry VMs. The platform's store is accessed through package platform.
//
// # Usage
//
//	lister := ladderplatform.NewLister(address)
//	listing, findings, err := lister.List(ctx)
package ladderplatform
