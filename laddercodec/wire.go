package laddercodec

// The wire types below are encoded as CBOR arrays. Durations are nanoseconds and
// times are nanoseconds since 1970. New parts are added at the end only.

type sizeWire struct {
	_            struct{} `cbor:",toarray"`
	Slots        int
	Millicores   int
	Memory       int64
	Accelerators int
}

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

type roomWire struct {
	_      struct{} `cbor:",toarray"`
	Task   string
	Worker workerWire
	Boot   uint64
	Epoch  uint64
	Until  int64
	Holder string
}

type fullWire struct {
	_          struct{} `cbor:",toarray"`
	Reason     string
	RetryAfter int64
}

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

type pushWire struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Change   string
	By       string
	Document string
	Workers  []workerWire
	Entries  []entryWire
}

type entryWire struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Region  string
	Zone    string
	Peers   string
	Leaving bool
}

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

type moveWire struct {
	_       struct{} `cbor:",toarray"`
	Rack    string
	Since   int64
	Boots   map[string]uint64
	Epochs  map[string]uint64
	Records []recordWire
}

type endsWire struct {
	_           struct{} `cbor:",toarray"`
	Incarnation string
	After       uint64
}

type finishedWire struct {
	_       struct{} `cbor:",toarray"`
	Seq     uint64
	Task    string
	Worker  string
	Known   bool
	Failed  bool
	Stopped bool
}

type endedWire struct {
	_           struct{} `cbor:",toarray"`
	Incarnation string
	Ends        []finishedWire
	Held        []string
}

type runsWire struct {
	_           struct{} `cbor:",toarray"`
	Incarnation string
	Workers     map[string]string
	Held        []string
}

type seenWire struct {
	_       struct{} `cbor:",toarray"`
	Known   bool
	State   string
	Reason  string
	Running int
	Ended   int
}
