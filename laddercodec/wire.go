package laddercodec

// The wire types of this file are encoded as CBOR arrays. Durations are in nanoseconds, and
// times are in nanoseconds since the Unix epoch. New fields are only added at the end.

// sizeWire encodes a [laddermodel.Size].
type sizeWire struct {
	_            struct{} `cbor:",toarray"`
	Slots        int
	Millicores   int
	Memory       int64
	Accelerators int
}

// workerWire encodes a [laddermodel.Worker].
type workerWire struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Region  string
	Zone    string
	Rack    string
	Address string
	Size    sizeWire
	Leaving bool
}

// digestWire encodes a [ladderplacement.Digest]. Holder, Region and Zone are empty if they
// are those of the heartbeat's sender.
type digestWire struct {
	_             struct{} `cbor:",toarray"`
	Holder        string
	Region        string
	Zone          string
	Rack          string
	Free          sizeWire
	LargestFree   sizeWire
	Home          bool
	PredictedWait int64
}

// heartbeatWire encodes a [laddermessage.Heartbeat].
type heartbeatWire struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Region      string
	Zone        string
	PeerAddress string
	Incarnation string
	Version     uint64
	Draining    bool
	Digests     []digestWire
	Leaving     []string
	Joining     bool
}

// capacityRequestWire encodes a [ladderholder.CapacityRequest].
type capacityRequestWire struct {
	_              struct{} `cbor:",toarray"`
	Task           string
	Source         string
	Kind           int
	Size           sizeWire
	Policy         string
	MaxWait        int64
	Rack           string
	ExcludedWorker string
}

// reservedWire encodes a [laddermessage.Reserved].
type reservedWire struct {
	_      struct{} `cbor:",toarray"`
	Task   string
	Worker workerWire
	Boot   uint64
	Epoch  uint64
	Until  int64
	Holder string
}

// noCapacityWire encodes a [laddermessage.NoCapacity].
type noCapacityWire struct {
	_          struct{} `cbor:",toarray"`
	Reason     string
	RetryAfter int64
}

// taskEndWire encodes a [ladderholder.TaskEnd].
type taskEndWire struct {
	_       struct{} `cbor:",toarray"`
	Worker  string
	Task    string
	Source  string
	Ran     bool
	Failed  bool
	Fenced  bool
	Leaving bool
}

// requestWire encodes a [laddermodel.Request].
type requestWire struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Key      string
	Member   string
	Class    string
	Deadline int64
	Body     []byte
	Hops     int
}

// answerWire encodes a [laddermodel.Answer].
type answerWire struct {
	_          struct{} `cbor:",toarray"`
	Outcome    int
	Body       []byte
	Reason     string
	RetryAfter int64
	Conflict   bool
	Worker     string
	Attempts   int
}

// configUpdateWire encodes a [laddermessage.ConfigUpdate].
type configUpdateWire struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	ChangeID string
	Operator string
	Document string
	Workers  []workerWire
	EntryVMs []entryVMWire
}

// entryVMWire encodes a [laddermodel.EntryVM] in the list of VMs.
type entryVMWire struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Region      string
	Zone        string
	PeerAddress string
	Leaving     bool
}

// recordWire encodes a [ladderkey.Record].
type recordWire struct {
	_      struct{} `cbor:",toarray"`
	Key    string
	Rack   string
	Member string
	Digest uint64
	Once   bool
	Lease  int64
	Answer answerWire
	At     int64
}

// handoverHomeWire encodes a [laddermessage.HandoverHome].
type handoverHomeWire struct {
	_       struct{} `cbor:",toarray"`
	Rack    string
	Since   int64
	Boots   map[string]uint64
	Epochs  map[string]uint64
	Records []recordWire
}

// endedTasksQueryWire encodes a [laddermessage.EndedTasksQuery].
type endedTasksQueryWire struct {
	_           struct{} `cbor:",toarray"`
	Incarnation string
	After       uint64
}

// finishedTaskWire encodes a [ladderholder.FinishedTask].
type finishedTaskWire struct {
	_           struct{} `cbor:",toarray"`
	Seq         uint64
	Task        string
	Worker      string
	EndReported bool
	Failed      bool
	Stopped     bool
}

// endedTasksWire encodes a [laddermessage.EndedTasks].
type endedTasksWire struct {
	_           struct{} `cbor:",toarray"`
	Incarnation string
	Ends        []finishedTaskWire
	HeldWorkers []string
}

// runningTasksWire encodes a [laddermessage.RunningTasks].
type runningTasksWire struct {
	_           struct{} `cbor:",toarray"`
	Incarnation string
	Workers     map[string]string
	HeldWorkers []string
}

// jobStatusWire encodes a [laddermessage.JobStatus].
type jobStatusWire struct {
	_       struct{} `cbor:",toarray"`
	Found   bool
	State   string
	Reason  string
	Running int
	Ended   int
}
