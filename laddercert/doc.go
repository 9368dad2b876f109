// Package laddercert creates and loads the certificates with which entry VMs
// authenticate each other.
//
// All entry VMs of a fleet trust one certificate authority. Each has its own
// certificate, and each side of a connection verifies the certificate of the
// other. [Generate] creates an authority and certificates for trials and tests; a
// production fleet uses certificates of its own.
//
// # Usage
//
//	err := laddercert.Generate(dir, []string{"taoyuan-a-e1"}, []netip.Addr{address}, now)
//	tls, err := laddercert.Load(settings.TLS)
package laddercert
