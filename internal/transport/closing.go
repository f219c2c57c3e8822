package transport

// CloseReason is why a connection of a pool was closed.
type CloseReason uint8

// The reasons.
const (
	IdleTooLong  CloseReason = iota // it rested for as long as connections are kept
	EndedAtRest                     // the other side ended it while it carried no call
	SpokeAtRest                     // it brought bytes that no call had asked for
	GaveWay                         // another connection needed its place
	NotWanted                       // its owner let go of the idle ones, or its receiver has another address
	AnsweredLast                    // one side had said that the answer is the last one on it
	CallFailed                      // a call on it had no whole answer, or was not sent
)

func (r CloseReason) String() string {
	return [...]string{"idle too long", "ended at rest", "spoke at rest", "gave way", "not wanted", "answered last", "call failed"}[r]
}

// atRest is the reason that a look at a connection without a call gives.
func atRest(seen sight) CloseReason {
	if seen == spoke {
		return SpokeAtRest
	}
	return EndedAtRest
}

// Closing is the end of one connection of a pool.
type Closing struct {
	Receiver   string
	Connection uint64 // as Exchange.Begins told it
	Exchanges  int    // that had begun on it
	Why        CloseReason
}

// Counts are connections of a pool since its start.
type Counts struct {
	Made    int64 // connected
	Spoken  int64 // closed because they brought bytes that no call had asked for
	Unknown int64 // closed because answers came to a closing request, and none was known to be its own
}
