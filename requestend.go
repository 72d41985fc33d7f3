package lentilmux

// EndCause says what ended a request.
type EndCause string

// The causes of a request's end. They are values of a metric label.
const (
	// EndAnswered means that an upstream's answer was passed on completely.
	EndAnswered EndCause = "answered"
	// EndRefused means that the node gave no first attempt.
	EndRefused EndCause = "refused"
	// EndUpstreamFailed means that the last attempt failed and no further one
	// followed.
	EndUpstreamFailed EndCause = "upstream_failed"
	// EndAttemptCanceled means the same after an earlier attempt, which had not
	// failed, was canceled in favor of another one.
	EndAttemptCanceled EndCause = "attempt_canceled"
	// EndDeadline means that the caller's deadline or the route's timeout passed.
	EndDeadline EndCause = "deadline"
	// EndCallerDisconnected means that the caller closed its connection.
	EndCallerDisconnected EndCause = "caller_disconnected"
	// EndNodeStopped means that this process ended.
	EndNodeStopped EndCause = "node_stopped"
	// EndNodeFailed means that the node gave no answer that the relay can follow.
	EndNodeFailed EndCause = "node_failed"
	// EndPanicked means that the code that served the request panicked.
	EndPanicked EndCause = "panicked"
	// EndBodyUnreadable means that the request's body did not arrive completely.
	EndBodyUnreadable EndCause = "body_unreadable"
)

// RequestEnd describes how a request ended, for logs and metrics.
type RequestEnd struct {
	Cause       EndCause
	Unanswered  bool        // whether the caller got neither a complete answer nor a refusal
	Epoch       Epoch       // of the last attempt; 0 if there was none
	Failures    int         // attempts that failed
	LastFailure FailureKind // of the last attempt that failed, if any did
	Canceled    int         // attempts that were canceled although they had not failed
	Panic       string      // value of the last panic while the request was served, with its stack; empty for none
}
