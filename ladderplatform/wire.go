package ladderplatform

// The types below are the JSON form of the store's interface. Numbers of 64 bits
// travel as strings, and keys and values in base64.

// Header is part of each answer.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// Pair is a key with its value.
type Pair struct {
	Key      []byte `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Created  int64  `json:"create_revision,string,omitempty"`
	Modified int64  `json:"mod_revision,string,omitempty"`
	Lease    int64  `json:"lease,string,omitempty"`
}

// RangeQuery asks for one key, or all keys from Key up to End.
type RangeQuery struct {
	Key         []byte `json:"key"`
	End         []byte `json:"range_end,omitempty"`
	MinModified int64  `json:"min_mod_revision,string,omitempty"`
}

// RangeReply answers a [RangeQuery].
type RangeReply struct {
	Header Header `json:"header"`
	Pairs  []Pair `json:"kvs,omitempty"`
}

// Compare is a condition of a transaction. Target is MOD or CREATE, and Result
// is always EQUAL.
type Compare struct {
	Target   string `json:"target"`
	Result   string `json:"result"`
	Key      []byte `json:"key"`
	Modified int64  `json:"mod_revision,string,omitempty"`
	Created  int64  `json:"create_revision,string,omitempty"`
}

// PutQuery sets a key.
type PutQuery struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteQuery removes a key.
type DeleteQuery struct {
	Key []byte `json:"key"`
}

// Op is one write of a transaction.
type Op struct {
	Put    *PutQuery    `json:"request_put,omitempty"`
	Delete *DeleteQuery `json:"request_delete_range,omitempty"`
}

// TxnQuery is a transaction.
type TxnQuery struct {
	Compare []Compare `json:"compare,omitempty"`
	Success []Op      `json:"success,omitempty"`
}

// TxnReply answers a [TxnQuery].
type TxnReply struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// LeaseQuery asks for a lease, or prolongs one. TTL is in seconds.
type LeaseQuery struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// LeaseReply answers a [LeaseQuery].
type LeaseReply struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// AliveReply answers a [LeaseQuery] that prolongs.
type AliveReply struct {
	Result LeaseReply `json:"result"`
}

// WatchQuery opens a watch.
type WatchQuery struct {
	Create WatchCreate `json:"create_request"`
}

// WatchCreate names what is watched.
type WatchCreate struct {
	Key   []byte `json:"key"`
	Start int64  `json:"start_revision,string,omitempty"`
}

// WatchReply is one message of a watch.
type WatchReply struct {
	Result WatchResult `json:"result"`
}

// WatchResult holds the events of a [WatchReply].
type WatchResult struct {
	Header Header       `json:"header"`
	Events []WatchEvent `json:"events,omitempty"`
}

// WatchEvent is one change.
type WatchEvent struct {
	Type string `json:"type,omitempty"`
	Pair Pair   `json:"kv"`
}

func toEntry(p Pair) Entry {
	return Entry{Key: string(p.Key), Value: p.Value, Created: p.Created, Modified: p.Modified}
}

// fromTxn maps a transaction to its wire form.
func fromTxn(t Txn) TxnQuery {
	var q TxnQuery
	for _, c := range t.If {
		w := Compare{Target: "MOD", Result: "EQUAL", Key: []byte(c.Key), Modified: c.Modified}
		if c.Creation {
			w = Compare{Target: "CREATE", Result: "EQUAL", Key: []byte(c.Key), Created: c.Modified}
		}
		q.Compare = append(q.Compare, w)
	}
	for _, p := range t.Puts {
		q.Success = append(q.Success, Op{Put: &PutQuery{Key: []byte(p.Key), Value: p.Value, Lease: p.Lease}})
	}
	for _, k := range t.Deletes {
		q.Success = append(q.Success, Op{Delete: &DeleteQuery{Key: []byte(k)}})
	}
	return q
}
