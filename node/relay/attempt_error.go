package relay

import (
	"context"
	"errors"
	"time"

	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/picker"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/core/retry"
	"dogwoodsill.org/core/strict"
)

// attemptError is the failure of one attempt.
type attemptError struct {
	refusal      *refuse.Error
	outcome      retry.Outcome
	result       picker.Result
	attemptsLeft int  // unused attempts that the target reported
	linkLost     bool // the link was lost; the attempt may be running
	noStream     bool // there was no link to the node, or it refused the stream
	noProcess    bool // nothing listens at the address of the node
	reached      bool // the call was sent to an upstream, or may have been
	feedback     *Feedback
	again        bool // the same target may be tried again
	cold         bool // the upstream is cold and receives no more calls at present
}

// rejectedError describes an attempt that was not sent, in a case in which a retry
// would not help.
func rejectedError(e *refuse.Error, attemptsLeft int) *attemptError {
	return &attemptError{refusal: e, outcome: retry.Rejected, result: picker.Unknown, attemptsLeft: attemptsLeft}
}

// notSentError describes an attempt that certainly did not reach an upstream.
func notSentError(ctx context.Context, attemptsLeft int, detail string) *attemptError {
	if ctx.Err() != nil {
		return rejectedError(contextRefusal(ctx), attemptsLeft)
	}
	return &attemptError{
		refusal: refuse.New(refuse.UpstreamFailed, "%s", detail),
		outcome: retry.NotDispatched, result: picker.Failed, attemptsLeft: attemptsLeft, noStream: true,
	}
}

// mayResume reports whether an attempt may be resumed once more. The link that it was sent on was
// lost first, and the latest link on which it was resumed was lost last.
func (f *attemptError) mayResume(firstLoss, lastLoss, now time.Time) bool {
	if f.noProcess || !f.linkLost && !f.noStream {
		return false
	}
	return now.Sub(lastLoss) < resumeGrace && now.Sub(firstLoss) < maxResumeTime
}

// noReplyError describes an attempt that ended without a reply. If the remote node
// refused the stream, the call was certainly not executed.
func noReplyError(ctx context.Context, err error) *attemptError {
	var reset *frame.ResetError
	if errors.As(err, &reset) && reset.Remote && reset.Code == frame.CodeRefused {
		return notSentError(ctx, 0, "the target's node refused the stream")
	}
	if ctx.Err() != nil {
		return &attemptError{refusal: contextRefusal(ctx).WithExecuted(refuse.ExecutionUnknown), outcome: retry.Rejected, result: contextResult(ctx)}
	}
	var session *frame.SessionError
	e := refuse.New(refuse.UpstreamFailed, "%s", noAnswerDetail("the target's node", err))
	return &attemptError{
		refusal: e.WithExecuted(refuse.ExecutionUnknown), outcome: retry.Failed, result: picker.Failed,
		linkLost: errors.As(err, &session), reached: true,
	}
}

// noAnswerDetail says why there is no valid answer of an upstream or a node.
func noAnswerDetail(who string, err error) string {
	var malformed *strict.MalformedError
	if errors.As(err, &malformed) {
		return who + ": " + malformed.Error()
	}
	return who + " gave no answer"
}

// contextResult returns the result to record for a target when the context of an
// attempt ended: a missed deadline counts as a failure of the target, a
// cancellation by the caller doesn't.
func contextResult(ctx context.Context) picker.Result {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return picker.Failed
	}
	return picker.Unknown
}

func contextRefusal(ctx context.Context) *refuse.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refuse.New(refuse.DeadlineExceeded, "no answer before the deadline")
	}
	return refuse.New(refuse.Cancelled, "the request was cancelled")
}

// refusedError describes an attempt that the target's node refused.
func refusedError(reply *ReplyHead) *attemptError {
	fail := &attemptError{
		refusal: reply.Refusal, outcome: retry.Rejected, result: picker.Refused, attemptsLeft: reply.AttemptsLeft, feedback: &reply.Feedback,
		reached: reply.Reached || reply.Refusal.Executed == refuse.ExecutionUnknown,
	}
	fail.cold = reply.Refusal.Reason == refuse.NoUpstream && reply.Feedback.FullUS > 0 && !fail.reached
	switch reply.Refusal.Reason {
	case refuse.Overloaded:
		fail.outcome = retry.Refused
		if reply.Reached {
			fail.result = picker.Shed
		}
	case refuse.NoUpstream, refuse.NotReady, refuse.ConfigStale:
		fail.outcome = retry.NotDispatched
	case refuse.UpstreamFailed:
		fail.outcome, fail.result = retry.Failed, picker.Failed
		if reply.Refusal.Executed == refuse.NotExecuted {
			fail.outcome = retry.NotDispatched
		}
	case refuse.DeadlineExceeded:
		fail.outcome = retry.Expired
	}
	return fail
}
