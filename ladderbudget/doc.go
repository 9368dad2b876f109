// Package ladderbudget limits what failures and distance may cost.
//
// A [Retries] budget earns a fixed part of a retry with every request and spends
// one with every retry, so that failures never multiply the load. A [Bytes]
// budget lets a number of bytes a second across a paid link, with a burst of one
// second.
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
