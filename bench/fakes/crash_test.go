package fakes_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"dogwoodsill.org/bench/fakes"
	"dogwoodsill.org/node/relay"
)

// announcements is a local listener of a node that records what upstreams announce.
type announcements struct {
	mu   sync.Mutex
	list []relay.Upstream
}

func (a *announcements) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var u relay.Upstream
	if err := json.NewDecoder(r.Body).Decode(&u); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.list = append(a.list, u)
	w.WriteHeader(http.StatusNoContent)
}

func (a *announcements) last() (u relay.Upstream, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list[len(a.list)-1], len(a.list)
}

// get requests a path from an upstream on a connection of the client c.
func get(c *http.Client, u *fakes.Upstream, id, path string) error {
	req, err := http.NewRequest(http.MethodGet, "http://"+u.Addr()+path, nil)
	if err != nil {
		return err
	}
	req.Header.Set(fakes.RequestID, id)
	resp, err := c.Do(req)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return err
}

// Guards against a fake crash after which the process still responds or announces itself,
// or is back under the same identity.
func TestCrash(t *testing.T) {
	for _, test := range []struct {
		name string
		down time.Duration
	}{
		{"shorter than the interval of announcements", 300 * time.Millisecond},
		{"longer", 1500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var a announcements
			node := httptest.NewServer(&a)
			t.Cleanup(node.Close)
			u, err := fakes.StartUpstream("archive", strings.TrimPrefix(node.URL, "http://"), fakes.WithServiceTime(time.Minute))
			assert.NilError(t, err)
			t.Cleanup(func() { assert.Check(t, u.Close()) })
			u.CrashOn(func(r *http.Request) bool { return r.URL.Path == "/crash" }, test.down)
			c := &http.Client{Transport: &http.Transport{}}
			t.Cleanup(c.CloseIdleConnections)

			beside := make(chan error, 1)
			go func() { beside <- get(c, u, "beside", "/") }()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if u.InService() == 0 {
					return poll.Continue("the request beside the crash doesn't run")
				}
				return poll.Success()
			}, poll.WithDelay(5*time.Millisecond))
			assert.Assert(t, get(c, u, "crash", "/crash") != nil)
			assert.Assert(t, <-beside != nil)
			before, n := a.last()
			assert.Assert(t, u.Down())
			assert.ErrorIs(t, get(c, u, "down", "/"), syscall.ECONNREFUSED)
			assert.NilError(t, u.Announce())
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if u.Down() {
					return poll.Continue("the upstream is down")
				}
				return poll.Success()
			}, poll.WithDelay(5*time.Millisecond))
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if _, now := a.last(); now == n {
					return poll.Continue("the new process has not announced itself")
				}
				return poll.Success()
			}, poll.WithDelay(5*time.Millisecond))

			after, _ := a.last()
			assert.Equal(t, after.Addr, before.Addr)
			assert.Assert(t, after.ID != before.ID)
			assert.Assert(t, after.StartedMS > before.StartedMS)
			u.SetServiceTime(0)
			assert.NilError(t, get(c, u, "after", "/"))
			crashes, requests := u.Crashes(), u.CrashingRequests()
			assert.Equal(t, len(crashes), 1)
			assert.DeepEqual(t, crashes[0].Running, []string{"beside", "crash"})
			assert.Equal(t, len(requests), 1)
			assert.Equal(t, requests[0].ID, "crash")
			assert.Assert(t, crashes[0].At.Sub(requests[0].Began) >= fakes.CrashDelay)
		})
	}
}
