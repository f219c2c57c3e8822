package choice

import "fmt"

// The module's decisions as log lines for operators. Nothing here decides.

// ColdCall logs a call or probe to a destination that may be cold, with what this sender knew when it sent it. Times are µs.
type ColdCall struct {
	Now          int64 // by the sender's clock
	Message      string
	Receiver     uint32
	Dst          int64
	Health       string  // of the receiver, as this sender sees it
	Phase        string  // recovery phase of the route
	Listed       int     // receivers of the destination
	Unhealthy    int     // of those, not open at this sender
	FailureScore float64 // of the receiver
	Failures     int     // consecutive, at the route
	SuccessAt    int64   // of the latest success at the route, 0 for none in this process
	Tokens       float64 // left in the token bucket that admitted it
	PerSecond    float64 // fill rate of that bucket, 0 for unlimited
	Capacity     float64 // calls a second that this sender assumes for the warm destination
	Queued       int     // messages still waiting for the destination
	Uptime       int64   // of this process
}

func (c ColdCall) String() string {
	what, success := "call of "+c.Message, lastSuccess(c.Now, c.SuccessAt)
	if c.Message == "" {
		what = "probe"
	}
	return fmt.Sprintf("%d ms: %s to receiver %d of destination %d that may be cold: %s, %s, %d of %d ill, %.1f strikes, %d failures in a row, %s, "+
		"%.2f tokens at %.3f a second of capacity %.2f, %d held, up for %d ms", c.Now/1000, what, c.Receiver, c.Dst, c.Phase, c.Health, c.Unhealthy, c.Listed, c.FailureScore,
		c.Failures, success, c.Tokens, c.PerSecond, c.Capacity, c.Queued, c.Uptime/1000)
}

// FailuresEnded logs a success after failures that closed nothing: the destination counts as warm at once.
type FailuresEnded struct {
	Now      int64
	Receiver uint32
	Dst      int64
	Failures int
	Duration int64 // µs since the first failure
	Queued   int
}

func (r FailuresEnded) String() string {
	return fmt.Sprintf("%d ms: receiver %d of destination %d answers after %d failures in a row over %d ms, %d held", r.Now/1000, r.Receiver, r.Dst,
		r.Failures, r.Duration/1000, r.Queued)
}

// PhaseChange logs a change of a route's recovery phase. Times are µs.
type PhaseChange struct {
	Now       int64
	Dst       int64
	Receiver  uint32 // whose outcome caused it
	From, To  string
	Failures  int // consecutive
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

// Reasons for an undelivered message.
const (
	DeadlineExceeded     EndReason = iota // its deadline or its key window is over
	NoReceiverInTime                      // no receiver may be called before its last chance
	RetryNotAllowed                       // a leg may have run and the class allows no retry, or its legs are used up
	RetryBudgetExhausted                  // the destination's retry budget is exhausted
	RetryTooLate                          // Retry-After and jitter go past its last chance
	QueueFull                             // the queue is full
	UnknownDst                            // no list names its destination
	Recalled                              // its tenant was purged or its channel moved
	StreamBroken                          // the response broke off after it had started
	endReasons
)

func (e EndReason) String() string {
	return [...]string{"out_of_time", "no_hope_in_time", "may_not_repeat", "no_retry_budget", "retry_too_late", "no_room", "unknown_destination",
		"recalled", "stream_broken"}[e]
}

// EndCounts counts the messages that ended undelivered since the start, by reason.
type EndCounts [endReasons]int
