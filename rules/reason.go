package rules

// Reason is the reason for which the gateway rejected a request, with Refuse or Fail.
type Reason int

// The values of Reason.
const (
	RejectedTooLate      Reason = iota // too little time was left when the request arrived
	RejectedOverQuota                  // the customer's quota is used up
	RejectedNoCounter                  // the counter does not answer and the local allowance is used up
	RejectedNoLease                    // the counter did not answer in time
	RejectedNoRoom                     // the expected wait for the concurrency limit was too long
	RejectedQueueTimeout               // it waited for the concurrency limit until its time was over
	RejectedNoRetry                    // its attempt failed and no retry was possible
	RejectedNoAnswer                   // its attempt was not answered in time
	RejectedStopping                   // the process ends before its time is over
	RejectedReplay                     // a request with the same id may have run

	// ReasonCount is the number of reasons.
	ReasonCount
)

var reasonNames = [ReasonCount]string{"too_late", "over_quota", "no_counter", "no_lease", "no_room", "held_out",
	"no_retry", "no_answer", "stopping", "replay"}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }
