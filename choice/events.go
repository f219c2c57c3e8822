package choice

import "fmt"

// What the module tells people of its decisions, one line of text each. Nothing here decides.

// ColdCall is a call or probe to a destination that may be cold, and what this sender knew as it let it go. Times are µs.
type ColdCall struct {
	Now       int64 // by the sender's clock
	Message   string
	Receiver  uint32
	Dst       int64
	Health    string  // of the receiver at this sender
	Phase     string  // of its route
	Listed    int     // receivers of the destination
	Ill       int     // of those, not open at this sender
	Strikes   float64 // of the receiver
	Failures  int     // in a row at the route, with no success between
	SuccessAt int64   // of the latest success at the route, 0 for none in this process
	Tokens    float64 // left in the bucket that let it go
	PerSecond float64 // at which that bucket fills, 0 for no bound
	Capacity  float64 // calls a second, as this sender takes it for the warm destination
	Held      int     // messages still waiting there
	UpFor     int64   // age of this process
}

func (c ColdCall) String() string {
	what, success := "call of "+c.Message, lastSuccess(c.Now, c.SuccessAt)
	if c.Message == "" {
		what = "probe"
	}
	return fmt.Sprintf("%d ms: %s to receiver %d of destination %d that may be cold: %s, %s, %d of %d ill, %.1f strikes, %d failures in a row, %s, "+
		"%.2f tokens at %.3f a second of capacity %.2f, %d held, up for %d ms", c.Now/1000, what, c.Receiver, c.Dst, c.Phase, c.Health, c.Ill, c.Listed, c.Strikes,
		c.Failures, success, c.Tokens, c.PerSecond, c.Capacity, c.Held, c.UpFor/1000)
}

// RowEnded is a success after failures that closed nothing: the destination counts as warm at once.
type RowEnded struct {
	Now      int64
	Receiver uint32
	Dst      int64
	Failures int
	For      int64 // µs since the first of them
	Held     int
}

func (r RowEnded) String() string {
	return fmt.Sprintf("%d ms: receiver %d of destination %d answers after %d failures in a row over %d ms, %d held", r.Now/1000, r.Receiver, r.Dst,
		r.Failures, r.For/1000, r.Held)
}

// PhaseChange is a route's step between warm, suspect and recovering. Times are µs.
type PhaseChange struct {
	Now       int64
	Dst       int64
	Receiver  uint32 // whose outcome brought it
	From, To  string
	Failures  int // in a row
	SuccessAt int64
}

func (c PhaseChange) String() string {
	return fmt.Sprintf("%d ms: destination %d goes from %s to %s by receiver %d (%d failures in a row, %s)", c.Now/1000, c.Dst, c.From, c.To, c.Receiver,
		c.Failures, lastSuccess(c.Now, c.SuccessAt))
}

func lastSuccess(now, at int64) string {
	if at == 0 {
		return "no success yet"
	}
	return fmt.Sprintf("last success %d ms ago", (now-at)/1000)
}

// EndReason is why a message ended undelivered.
type EndReason uint8

// The reasons.
const (
	OutOfTime     EndReason = iota // its deadline, or the end of its key's window
	NoHopeInTime                   // no receiver may be called before its last chance
	MayNotRepeat                   // it may have run, or it has had all its attempts
	NoRetryBudget                  // the destination's retries are spent
	RetryTooLate                   // the wait told and the jitter pass its last chance
	NoRoomHeld                     // the holding room is full
	UnknownDst                     // no list names its destination
	RecalledAway                   // its tenant was purged, or its channel moved
	StreamBroken                   // its answer had begun
	endReasons
)

func (e EndReason) String() string {
	return [...]string{"out_of_time", "no_hope_in_time", "may_not_repeat", "no_retry_budget", "retry_too_late", "no_room", "unknown_destination",
		"recalled", "stream_broken"}[e]
}

// EndCounts are messages that ended undelivered since the start, by reason.
type EndCounts [endReasons]int
