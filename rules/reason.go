package rules

// Reason is why a request was rejected: it got an answer that no backend made.
type Reason int

// The reasons.
const (
	RejectedTooLate      Reason = iota // no time was left when it came
	RejectedOverQuota                  // the counter has no units for its customer
	RejectedNoCounter                  // the counter is silent and the local share is spent
	RejectedNoLease                    // the counter's answer came too late
	RejectedNoRoom                     // the bound is full and the wait would be too long
	RejectedQueueTimeout               // it waited for the bound for all of its time
	RejectedNoRetry                    // its attempt failed and there was none further
	RejectedNoAnswer                   // its attempt took all of its time
	RejectedStopping                   // the process ends before its time is over

	// ReasonCount is the number of reasons.
	ReasonCount
)

var reasonNames = [ReasonCount]string{"too_late", "over_quota", "no_counter", "no_lease", "no_room", "held_out",
	"no_retry", "no_answer", "stopping"}

// String returns the name that logs and metrics use.
func (r Reason) String() string { return reasonNames[r] }
