// Package laddercert makes and loads the certificates by which entry VMs know
// each other.
//
// All entry VMs of a fleet trust one authority. Each presents a certificate of
// its own, and both sides of a connection check the other's. [Make] writes a set
// of files for trying the system out; a fleet in use brings its own.
//
// # Usage
//
//	err := laddercert.Make(dir, []string{"taoyuan-a-e1"}, []netip.Addr{address}, now)
//	tls, err := laddercert.Load(settings.TLS)
package laddercert
