package claims

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/claim"
	"dogwoodsill.org/core/model"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/node/relay"
)

// cutBody is a body that breaks off with an error after its bytes.
type cutBody struct{ *bytes.Reader }

var errCut = errors.New("the connection was lost")

func (b cutBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = errCut
	}
	return n, err
}

// TestStoredResponse guards against a request that repeats an idempotency key, or joined the
// first one, and receives a part of the response as if it were complete.
func TestStoredResponse(t *testing.T) {
	const limit = claim.DefaultMaxResponseBytes
	for _, c := range []struct {
		name   string
		size   int
		cut    bool // the response breaks off after size bytes
		leave  bool // the first caller leaves after the first byte
		replay bool // others receive the response, otherwise a refusal
	}{
		{"empty", 0, false, false, true},
		{"below the limit", limit - 1, false, false, true},
		{"at the limit", limit, false, false, true},
		{"above the limit", limit + 1, false, false, false},
		{"four times the limit", 4 * limit, false, false, false},
		{"cut", 1000, true, false, false},
		{"cut at the limit", limit, true, false, false},
		{"cut above the limit", 2 * limit, true, false, false},
		{"first caller leaves", limit, false, true, true},
		{"first caller leaves a large response", 2 * limit, false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			issuer, err := claim.NewIssuer("node-1", 1, now)
			assert.NilError(t, err)
			table := claim.NewTable(issuer, now)
			keys, refusal := issuer.Issue(now, "press", 1)
			assert.Assert(t, refusal == nil)
			req := &claim.Request{Key: keys[0], Route: "orders", Call: model.Call{Customer: "press", Attempts: 1, Deadline: now.Add(time.Minute)}}
			first := table.Claim(now, claim.Ownership{}, req)
			assert.Assert(t, first.Ticket.Dispatch(now, claim.Ownership{}) == nil)
			joined := table.Claim(now, claim.Ownership{}, req)
			assert.Equal(t, joined.Verdict, claim.Join)

			data := bytes.Repeat([]byte("serial 7 "), c.size/9+1)[:c.size]
			body := io.NopCloser(io.Reader(bytes.NewReader(data)))
			if c.cut {
				body = io.NopCloser(cutBody{bytes.NewReader(data)})
			}
			coordinator := &Coordinator{onErr: func(err error) { t.Error(err) }}
			assert.Assert(t, coordinator.drainer.Enter())
			rec := &recorder{coordinator: coordinator, ticket: first.Ticket, resp: &relay.Response{Status: 201, Header: http.Header{}}, body: body}
			if c.leave {
				_, err = rec.Read(make([]byte, 1))
				assert.NilError(t, err)
				assert.NilError(t, rec.Close())
			} else {
				got, err := io.ReadAll(rec)
				assert.Equal(t, err != nil, c.cut)
				assert.Assert(t, bytes.Equal(got, data))
			}
			<-joined.Waiter.Done()
			for who, d := range map[string]claim.Decision{"joined": joined.Waiter.Result(), "repeated": table.Claim(now, claim.Ownership{}, req)} {
				if !c.replay {
					assert.Equal(t, d.Verdict, claim.Refuse, who)
					assert.Equal(t, d.Refusal.Executed, refuse.ExecutionUnknown, who)
					continue
				}
				assert.Equal(t, d.Verdict, claim.Replay, who)
				assert.Equal(t, len(d.Response.Body), c.size, who)
				assert.Assert(t, bytes.Equal(d.Response.Body, data), who)
			}
		})
	}
}
