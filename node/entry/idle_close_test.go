package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/poll"
)

// TestIdleCloseAnswersWhatItReads guards against requests that are read and get neither an answer
// nor a refusal because their connection is closed as idle, as after a change of the limit.
func TestIdleCloseAnswersWhatItReads(t *testing.T) {
	var n tallies
	var sent passedOn
	s, addr := newTestServer(t, sent.send, n.listen)
	stop := make(chan struct{})
	go func() {
		defer close(stop)
		for began := time.Now(); time.Since(began) < 2*time.Second; {
			s.CloseIdleConns(0, time.Now())
		}
	}()
	unanswered := sendOnKeptConns(addr, 16, stop)
	t.Logf("%d requests read, %d answered; %d sent without an answer", n.heads.Load(), n.responses.Load(), len(unanswered))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if read, answered := n.heads.Load(), n.responses.Load(); read != answered {
			return poll.Continue("%d requests read, %d responses written", read, answered)
		}
		return poll.Success()
	})
}
