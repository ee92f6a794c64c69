package pubsh

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"dogwoodsill.org/core/config"
	"dogwoodsill.org/core/logsvc"
	"dogwoodsill.org/core/model"
	"gotest.tools/v3/assert"
)

// fault is the failure that the log simulates for one request.
type fault uint8

const (
	works fault = iota
	lostResponse
	lostRequest
	appendsLate // the append takes effect after the next one, and its response is lost
	hangs
	confirmsOnly // confirms an append without storing it
)

var errLost = errors.New("connection lost")

// fakeLog is an in-memory log with faults for the next appends and reads. After
// the last fault of a list all requests succeed, or fail if down is set.
type fakeLog struct {
	mu      sync.Mutex
	records [][]byte
	first   uint64
	late    [][]byte // records that the next append adds after its own
	appends []fault
	reads   []fault
	down    bool
	before  func() // called once before the next append
}

func next(list *[]fault, down bool) fault {
	if len(*list) == 0 {
		if down {
			return lostRequest
		}
		return works
	}
	f := (*list)[0]
	*list = (*list)[1:]
	return f
}

func (l *fakeLog) Append(ctx context.Context, _ string, records ...[]byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.before; f != nil {
		l.before = nil
		f()
	}
	first := uint64(len(l.records))
	switch next(&l.appends, l.down) {
	case lostRequest:
		return 0, errLost
	case hangs:
		<-ctx.Done()
		return 0, ctx.Err()
	case confirmsOnly:
		return first, nil
	case appendsLate:
		l.late = append(l.late, records...)
		return 0, errLost
	case lostResponse:
		l.records = slices.Concat(l.records, records)
		return 0, errLost
	default:
		l.records = slices.Concat(l.records, records, l.late)
		l.late = nil
		return first, nil
	}
}

func (l *fakeLog) Read(ctx context.Context, _ string, from uint64, n int, _ time.Duration) (logsvc.Batch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch next(&l.reads, l.down) {
	case works:
	case hangs:
		<-ctx.Done()
		return logsvc.Batch{}, ctx.Err()
	default:
		return logsvc.Batch{}, errLost
	}
	if from < l.first {
		return logsvc.Batch{}, &logsvc.ExpiredError{From: from, First: l.first}
	}
	end := uint64(len(l.records))
	to := min(end, from+uint64(n))
	return logsvc.Batch{First: from, Next: to, End: end, Records: l.records[from:to]}, nil
}

func newTestPublisher(l *fakeLog) *Publisher {
	return New(l, WithBackoff(time.Millisecond, 4*time.Millisecond), WithAttemptTimeout(20*time.Millisecond))
}

func customer(t *testing.T, p *Publisher, rate float64) config.Change {
	t.Helper()
	c, err := p.PutChange(model.KindCustomer, "press", model.Customer{Rate: rate, Burst: 5})
	assert.NilError(t, err)
	return c
}

// accepted applies the records of the log and returns the number of accepted
// changes.
func (l *fakeLog) accepted() int {
	s := config.NewState()
	n := 0
	for i, data := range l.records {
		if out := s.Apply(uint64(i), data); out != nil && out.Accepted {
			n++
		}
	}
	return n
}

// Guards against a change whose status is wrong, or that takes effect twice, if
// requests to the log or their responses are lost.
func TestPublishWithFaults(t *testing.T) {
	tests := []struct {
		name    string
		appends []fault
		reads   []fault
		sent    int
		records int
	}{
		{name: "no fault", sent: 1, records: 1},
		{name: "response lost", appends: []fault{lostResponse}, sent: 1, records: 1},
		{name: "request lost", appends: []fault{lostRequest, lostRequest}, sent: 3, records: 1},
		{name: "late append after the repeated one", appends: []fault{appendsLate}, sent: 2, records: 2},
		{name: "append hangs", appends: []fault{hangs}, sent: 2, records: 1},
		{name: "confirmed but not kept", appends: []fault{confirmsOnly}, sent: 2, records: 1},
		{name: "read back fails", appends: []fault{lostResponse}, reads: []fault{works, lostRequest, hangs}, sent: 1, records: 1},
		{name: "down at first", reads: []fault{lostRequest, lostRequest, hangs}, sent: 1, records: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := &fakeLog{appends: test.appends, reads: test.reads}
			p := newTestPublisher(l)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			res := p.Publish(ctx, customer(t, p, 1))
			assert.Equal(t, res.Status, Accepted, "%v", res.Err)
			assert.NilError(t, res.Err)
			assert.Equal(t, res.Revision, uint64(1))
			assert.Equal(t, res.Appends, test.sent)
			assert.Equal(t, len(l.records), test.records)
			assert.Equal(t, l.accepted(), 1)
			again := newTestPublisher(l).Publish(t.Context(), res.Change)
			assert.Equal(t, again.Status, Accepted)
			assert.Equal(t, again.Appends, 0)
		})
	}
}

// Guards against a change that is reported as accepted or rejected although its
// outcome is not known, and against waiting after the end of the context.
func TestPublishUnknown(t *testing.T) {
	for _, appends := range [][]fault{{lostRequest}, {lostResponse}} {
		l := &fakeLog{appends: appends, reads: []fault{works}, down: true}
		p := newTestPublisher(l)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		res := p.Publish(ctx, customer(t, p, 1))
		cancel()
		assert.Equal(t, res.Status, Unknown)
		assert.Assert(t, errors.Is(res.Err, context.DeadlineExceeded) && errors.Is(res.Err, errLost), "%v", res.Err)
		l.down = false
		res = newTestPublisher(l).Publish(t.Context(), res.Change)
		assert.Equal(t, res.Status, Accepted)
		assert.Equal(t, l.accepted(), 1)
	}
}

// Guards against two concurrent changes that are both reported as accepted.
func TestPublishRace(t *testing.T) {
	l := &fakeLog{}
	a, b := newTestPublisher(l), newTestPublisher(l)
	ca, cb := customer(t, a, 1), customer(t, b, 2)
	l.before = func() {
		data, err := json.Marshal(config.Record{Change: &cb})
		assert.NilError(t, err)
		l.records = append(l.records, data)
	}
	l.appends = []fault{lostResponse}
	lost := a.Publish(t.Context(), ca)
	assert.Equal(t, lost.Status, Rejected)
	assert.Equal(t, lost.Revision, uint64(1))
	won := b.Publish(t.Context(), cb)
	assert.Equal(t, won.Status, Accepted)
	retry := a.Publish(t.Context(), customer(t, a, 3)) // based on the accepted revision
	assert.Equal(t, retry.Status, Accepted)
	assert.Equal(t, a.View().Customers["press"].Rate, 3.0)
	deleted := a.Publish(t.Context(), a.DeleteChange(model.KindCustomer, "press"))
	assert.Equal(t, deleted.Status, Accepted)
	assert.Equal(t, len(a.View().Customers), 0)
}

// Guards against a publisher that bases changes on an incomplete configuration.
func TestExpiredRecords(t *testing.T) {
	l := &fakeLog{}
	p := newTestPublisher(l)
	for i := range 3 {
		assert.Equal(t, p.Publish(t.Context(), customer(t, p, float64(i+1))).Status, Accepted)
	}
	l.first = 2
	fresh := newTestPublisher(l)
	var gap *GapError
	assert.Assert(t, errors.As(fresh.Refresh(t.Context()), &gap))
	res := fresh.Publish(t.Context(), customer(t, fresh, 9))
	assert.Equal(t, res.Status, Unknown)
	assert.Equal(t, res.Appends, 0)
	parts, err := p.reader.Snapshot().Encode("s")
	assert.NilError(t, err)
	l.records = append(l.records, parts...)
	assert.NilError(t, fresh.Refresh(t.Context()))
	assert.Equal(t, fresh.View().Customers["press"].Rate, 3.0)
	_, err = fresh.PutChange(model.KindCustomer, "press", model.Customer{})
	assert.ErrorContains(t, err, "rate")
}

func ExamplePublisher_Publish() {
	p := New(&fakeLog{})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if err := p.Refresh(ctx); err != nil {
		fmt.Println(err)
		return
	}
	c, err := p.PutChange(model.KindCustomer, "abyssinia", model.Customer{Rate: 40, Burst: 80})
	if err != nil {
		fmt.Println(err)
		return
	}
	res := p.Publish(ctx, c)
	fmt.Println(res.Status, res.Revision)
	// Output: accepted 1
}
