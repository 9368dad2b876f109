// Package ladderbudget limits the number of retries and the traffic between
// regions.
//
// A [Retries] budget adds a fixed fraction of a retry for each request and
// subtracts one for each retry, so that failures cannot multiply the load. A
// [Bytes] budget limits the traffic on a paid link to a number of bytes per
// second, with a burst of one second's traffic.
//
// # Usage
//
//	retries := ladderbudget.NewRetries(0.1)
//	retries.Earn()
//	if retries.Spend() {
//		// try once more
//	}
//
// Both types are safe for concurrent use.
package ladderbudget
