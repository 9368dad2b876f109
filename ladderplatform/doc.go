// Package ladderplatform speaks to the platform: its key-value store and its
// list of VMs.
//
// The store is met through the JSON form of the etcd v3 interface (range, txn,
// lease and watch), of which the scheduler uses a small part. A [Store] counts
// its calls, since the platform charges for each; a waiting watch is one.
//
// # Usage
//
//	store := ladderplatform.NewStore(address)
//	entry, ok, err := store.Get(ctx, "ladder/config")
//	done, err := store.Commit(ctx, ladderplatform.Txn{
//		If:   []ladderplatform.Condition{{Key: "ladder/config", Modified: entry.Modified}},
//		Puts: []ladderplatform.Put{{Key: "ladder/config", Value: value}},
//	})
//
// An error of Commit does not mean that the write had no effect. Who must know
// puts an id into the value and reads it back.
package ladderplatform
