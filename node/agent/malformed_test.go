package agent

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"dogwoodsill.org/core/epoch"
	"dogwoodsill.org/core/frame"
	"dogwoodsill.org/core/member"
	"dogwoodsill.org/core/quota"
	"dogwoodsill.org/node/relay"
	"dogwoodsill.org/node/store"
	"dogwoodsill.org/node/zones"
)

// mutate returns a message with one of the faults that a broken peer or one of another
// version may send: cut, with changed bytes, doubled or random.
func mutate(rng *rand.Rand, data []byte) []byte {
	out := append([]byte(nil), data...)
	switch rng.IntN(4) {
	case 0:
		return out[:rng.IntN(len(out)+1)]
	case 1:
		for range 1 + rng.IntN(4) {
			out[rng.IntN(len(out))] = byte(rng.IntN(256))
		}
		return out
	case 2:
		return append(out, data...)
	default:
		out = make([]byte, rng.IntN(300))
		for i := range out {
			out[i] = byte(rng.IntN(256))
		}
		return out
	}
}

// TestMalformedMessages guards against a message of another node that ends the process or
// leaves a lock held. Each kind of stream gets valid messages, and mutated ones many times
// over; then the node must still answer.
func TestMalformedMessages(t *testing.T) {
	a := newTestAgent(t)
	share := quota.ShareID{Customer: "c", Zone: "bole"}
	valid := map[uint8]any{
		relay.KindCall:     relay.CallHead{Attempt: "x", Service: "s", Method: "GET", URI: "/"},
		relay.KindClaim:    relay.CallHead{Attempt: "x", Service: "s", Method: "POST", URI: "/", Key: "k"},
		relay.KindBorrow:   quota.BorrowRequest{ShareID: share, Amount: quota.Token, Urgent: true},
		relay.KindGossip:   member.Packet{},
		relay.KindProbe:    member.ProbeRequest{Target: "node-2"},
		relay.KindRecords:  store.RecordsRequest{From: 3},
		relay.KindConfirm:  epoch.ConfirmRequest{Zone: "bole", Epoch: 1},
		relay.KindCapacity: quota.CapacityRequest{ShareID: share, For: share, Seq: 1},
		relay.KindFollow:   followRequest{From: 1, Seen: 1, Epochs: zones.Position{Next: 1}},
		200:                "a kind of another version",
	}
	auth, err := newAuth("node-2", a.cfg.Peers)
	assert.NilError(t, err)
	rng := rand.New(rand.NewPCG(1, 1))
	for kind, message := range valid {
		data, err := msgpack.Marshal(message)
		assert.NilError(t, err)
		sendAll(t, a, auth, kind, data, rng)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	reply, err := callPeer[epoch.ConfirmRequest, epoch.ConfirmReply](ctx, newLinks(auth, a.listeners.peers.Addr()), a.Addrs().Peers, relay.KindConfirm, epoch.ConfirmRequest{Zone: "bole"})
	assert.NilError(t, err)
	assert.Equal(t, reply.Zone, "bole")
	assert.Equal(t, a.tokens.ShareCount(), 0) // acquires the lock of zones
}

// oddMessages are messages that must not end the process: nested deeply, or with lengths that
// they only claim to have.
func oddMessages() [][]byte {
	const headBytes = 60 << 10
	odd := [][]byte{
		bytes.Repeat([]byte{0x91}, headBytes),
		bytes.Repeat([]byte{0x81, 0xa1, 'x'}, headBytes/3),
		{0xdd, 0xff, 0xff, 0xff, 0xff},
	}
	for _, field := range []string{"entries", "want", "epochs", "zone", "unknown"} {
		named := append([]byte{0x81, 0xa0 | byte(len(field))}, field...)
		odd = append(odd,
			append(named[:len(named):len(named)], 0xdd, 0xff, 0xff, 0xff, 0xff),
			append(named[:len(named):len(named)], 0xc6, 0xff, 0xff, 0xff, 0xff),
			append(named[:len(named):len(named)], bytes.Repeat([]byte{0x91}, headBytes)...))
	}
	return odd
}

// sendAll sends a message of one kind, as it is, odd and mutated, each on a stream of its own.
func sendAll(t *testing.T, a *Agent, au *auth, kind uint8, data []byte, rng *rand.Rand) {
	t.Helper()
	const rounds = 200
	var session *frame.Session
	odd := oddMessages()
	for i := range rounds + len(odd) {
		if session == nil {
			conn, err := net.Dial("tcp", a.Addrs().Peers)
			assert.NilError(t, err)
			session, err = frame.Client(t.Context(), conn, au.client...)
			assert.NilError(t, err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		msg := data
		switch {
		case i > len(odd):
			msg = mutate(rng, data)
		case i > 0:
			msg = odd[i-1]
		}
		st, err := session.Open(ctx, kind, msg)
		if err == nil {
			_ = st.CloseWrite(msg)
			_, _ = io.Copy(io.Discard, st) // a stream that is reset at once may be dropped before its message is decoded
			st.Reset(frame.CodeCanceled)
		}
		cancel()
		select {
		case <-session.Done():
			session = nil
		default:
		}
	}
	if session != nil {
		_ = session.Close()
	}
}
