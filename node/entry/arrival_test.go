package entry

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/node/relay"
)

// TestWaitBehindEarlierRequestCounts guards against a request that is passed on with more time
// than its caller has left, because it waited for an earlier one on its connection, and against
// one that is passed on with less time because its connection was idle before.
func TestWaitBehindEarlierRequestCounts(t *testing.T) {
	const asked, pause = 5 * time.Second, time.Second
	const head = " HTTP/1.1\r\nHost: press.example\r\n" + TimeoutHeader + ": 5\r\n"
	const first, next = "GET /first" + head + "\r\n", "GET /next" + head + "\r\n"
	for _, test := range []struct {
		name                 string
		start, during, after string // sent at first, while the first request is handled, after its response
		waits                bool
	}{
		{"sent at once", first + next, "", "", true},
		{"sent while the first is handled", first, next, "", true},
		{"sent after the response", first, "", next, false},
		{"sent after the response to a body", "POST /first" + head + "Content-Length: 4\r\n\r\nbody", "", next, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			began, release := make(chan struct{}, 1), make(chan struct{})
			left := make(chan time.Duration, 1)
			_, addr := newTestServer(t, func(_ context.Context, req *relay.Request) (*relay.Response, int, *refuse.Error) {
				if req.URI == "/first" {
					began <- struct{}{}
					<-release
				} else {
					left <- time.Until(req.Call.Deadline)
				}
				return okResponse(), 0, nil
			})
			conn := dial(t, addr)
			assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			r := bufio.NewReader(conn)
			answer := func() {
				resp, err := http.ReadResponse(r, nil)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusOK)
			}
			send := func(s string) {
				_, err := io.WriteString(conn, s)
				assert.NilError(t, err)
			}
			send(test.start)
			<-began
			send(test.during)
			time.Sleep(pause) // the time that counts
			close(release)
			answer()
			send(test.after)
			answer()
			got := <-left
			assert.Equal(t, got < asked-pause/2, test.waits, "%v of %v left", got, asked)
		})
	}
}
