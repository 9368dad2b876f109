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
// are those of the sender of the heartbeat.
type digestWire struct {
	_       struct{} `cbor:",toarray"`
	Holder  string
	Region  string
	Zone    string
	Rack    string
	Free    sizeWire
	Widest  sizeWire
	Home    bool
	Waiting int64
}

// beatWire encodes a [laddermessage.Heartbeat].
type beatWire struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Region      string
	Zone        string
	Peers       string
	Incarnation string
	Version     uint64
	Draining    bool
	Digests     []digestWire
	Leaving     []string
	Joining     bool
}

// askWire encodes a [laddermessage.Reserve].
type askWire struct {
	_        struct{} `cbor:",toarray"`
	Task     string
	Source   string
	Kind     int
	Size     sizeWire
	Policy   string
	Patience int64
	Rack     string
	Avoid    string
}

// roomWire encodes a [laddermessage.Reserved].
type roomWire struct {
	_      struct{} `cbor:",toarray"`
	Task   string
	Worker workerWire
	Boot   uint64
	Epoch  uint64
	Until  int64
	Holder string
}

// fullWire encodes a [laddermessage.NoCapacity].
type fullWire struct {
	_          struct{} `cbor:",toarray"`
	Reason     string
	RetryAfter int64
}

// endWire encodes a [ladderholder.TaskEnd].
type endWire struct {
	_       struct{} `cbor:",toarray"`
	Worker  string
	Task    string
	Source  string
	Ran     bool
	Failed  bool
	Fenced  bool
	Leaving bool
}

// requestWire encodes a [laddermessage.Forward].
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

// pushWire encodes a [laddermessage.ConfigUpdate].
type pushWire struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Change   string
	By       string
	Document string
	Workers  []workerWire
	Entries  []entryWire
}

// entryWire encodes a [laddermodel.EntryVM] in the list of VMs.
type entryWire struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Region  string
	Zone    string
	Peers   string
	Leaving bool
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

// moveWire encodes a [laddermessage.HandoverHome].
type moveWire struct {
	_       struct{} `cbor:",toarray"`
	Rack    string
	Since   int64
	Boots   map[string]uint64
	Epochs  map[string]uint64
	Records []recordWire
}

// endsWire encodes a [laddermessage.EndedTasksQuery].
type endsWire struct {
	_           struct{} `cbor:",toarray"`
	Incarnation string
	After       uint64
}

// finishedWire encodes a [ladderholder.FinishedTask].
type finishedWire struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64
	Task    string
	Worker  string
	Known   bool
	Failed  bool
	Stopped bool
}

// endedWire encodes a [laddermessage.EndedTasks].
type endedWire struct {
	_           struct{} `cbor:",toarray"`
	Incarnation string
	Ends        []finishedWire
	Held        []string
}

// runsWire encodes a [laddermessage.RunningTasks].
type runsWire struct {
	_           struct{} `cbor:",toarray"`
	Incarnation string
	Workers     map[string]string
	Held        []string
}

// seenWire encodes a [laddermessage.JobStatus].
type seenWire struct {
	_       struct{} `cbor:",toarray"`
	Known   bool
	State   string
	Reason  string
	Running int
	Ended   int
}
