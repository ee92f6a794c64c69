package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const key = "6wsjnbanfqasnmgkcuyj"

var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%08x%08x", 0x9c41d07b, lastID.Add(1)) }

// answer is what a client got for one attempt.
type answer struct {
	id      string
	at      time.Time // when it was sent
	status  int       // 0 without an answer
	body    string
	sig     string
	err     error
	took    time.Duration
	machine string
}

// good reports whether the answer is the target's whole answer to the attempt.
func (a answer) good() bool {
	return a.status == http.StatusOK && a.body == body(a.id) && a.sig == signature(a.id)
}

// send sends one client attempt on a connection of its own.
func send(ctx context.Context, m *machine, method, host, path string, deadline time.Duration) answer {
	a := answer{id: newID(), at: time.Now(), machine: m.name}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	var payload io.Reader
	if method == http.MethodPost {
		payload = strings.NewReader("200 stubs")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.outbound+path, payload)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("Attempt-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Bearer "+key)
	tr := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		a.err, a.took = err, time.Since(a.at)
		return a
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	a.status, a.body, a.sig, a.err, a.took = resp.StatusCode, string(data), resp.Header.Get("Response-Signature"), err, time.Since(a.at)
	return a
}

// traffic sends attempts at a rate from machines in turn until ctx ends, and collects the answers.
type traffic struct {
	wg      sync.WaitGroup
	mu      sync.Mutex
	answers []answer
}

func (tr *traffic) run(ctx context.Context, machines []*machine, gap time.Duration, one func(m *machine) answer) {
	tr.wg.Add(1)
	go func() {
		defer tr.wg.Done()
		for i := 0; ctx.Err() == nil; i++ {
			tr.wg.Add(1)
			go func() {
				defer tr.wg.Done()
				a := one(machines[i%len(machines)])
				tr.mu.Lock()
				defer tr.mu.Unlock()
				tr.answers = append(tr.answers, a)
			}()
			time.Sleep(gap)
		}
	}()
}
