package frame

import (
	"bytes"
	"context"
	"errors"
	"net"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// item is an element of a list in a message.
type item struct {
	Name   string            `msgpack:"name"`
	Labels map[string]string `msgpack:"labels"`
	Sizes  [64]uint64        `msgpack:"-"`
}

type message struct {
	N     int      `msgpack:"n"`
	Items []item   `msgpack:"items"`
	Raw   []byte   `msgpack:"raw"`
	Names []string `msgpack:"names"`
}

// oddMessages are messages that must be refused before anything is allocated for them.
func oddMessages() []struct {
	name string
	data []byte
} {
	field := func(name string, value ...byte) []byte {
		return append(append([]byte{0x81, 0xa0 | byte(len(name))}, name...), value...)
	}
	return []struct {
		name string
		data []byte
	}{
		{"lists nested in an unknown field", field("x", bytes.Repeat([]byte{0x91}, MaxCallBytes/2)...)},
		{"maps nested in an unknown field", field("x", bytes.Repeat([]byte{0x81, 0x01}, MaxCallBytes/4)...)},
		{"nested wide lists", field("x", bytes.Repeat([]byte{0xdc, 0, 1}, MaxCallBytes/8)...)},
		{"lists nested in a known field", field("items", bytes.Repeat([]byte{0x91}, MaxCallBytes/2)...)},
		{"nested just too deeply", field("x", append(bytes.Repeat([]byte{0x91}, maxNesting), 0x01)...)},
		{"long list of structs", field("items", 0xdd, 0x00, 0x10, 0, 0)},
		{"longest list of structs", field("items", 0xdd, 0xff, 0xff, 0xff, 0xff)},
		{"long list of strings", field("names", 0xdd, 0xff, 0xff, 0xff, 0xff)},
		{"long byte string", field("raw", 0xc6, 0xff, 0xff, 0xff, 0xff)},
		{"long text", field("n", 0xdb, 0xff, 0xff, 0xff, 0xff)},
		{"long map", append([]byte{0xdf}, 0xff, 0xff, 0xff, 0xff)},
		{"list in an extension", field("items", 0xc7, 5, 1, 0xdd, 0xff, 0xff, 0xff, 0xff)},
		{"reserved type", field("n", 0xc1)},
		{"cut number", field("n", 0xcf, 1, 2)},
		{"cut length", field("raw", 0xc6, 1, 2)},
		{"empty", nil},
	}
}

// allocated returns the number of bytes that f allocates.
func allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// TestOddMessages guards against a message that ends the process: by a stack overflow, which
// can't be recovered, or by the memory for lengths that the message only claims to have.
func TestOddMessages(t *testing.T) {
	const maxAllocated = 1 << 20
	for _, test := range oddMessages() {
		t.Run(test.name, func(t *testing.T) {
			var v message
			var err error
			n := allocated(func() { err = Decode(test.data, &v) })
			var format *FormatError
			assert.Assert(t, errors.As(err, &format), "%v", err)
			assert.Assert(t, n < maxAllocated, "%d bytes", n)
		})
	}
}

// TestDecodeValid guards against a valid message that is refused.
func TestDecodeValid(t *testing.T) {
	for _, compact := range []bool{false, true} {
		want := message{
			N: -1 << 40, Raw: bytes.Repeat([]byte{7}, 1<<17), Names: []string{"", strings.Repeat("x", 200), strings.Repeat("y", 1<<16)},
			Items: make([]item, 1<<16),
		}
		want.Items[3] = item{Name: "third", Labels: map[string]string{"a": "b"}}
		var b bytes.Buffer
		enc := msgpack.NewEncoder(&b)
		enc.UseCompactInts(compact)
		assert.NilError(t, enc.Encode(&want))
		var got message
		assert.NilError(t, Decode(append(b.Bytes(), "more"...), &got))
		assert.Assert(t, reflect.DeepEqual(got, want))
	}
	var depth any
	assert.NilError(t, Decode(append(bytes.Repeat([]byte{0x91}, maxNesting), 0x01), &depth))
}

// TestOddCall guards against a peer's message that ends the process, or the link for others.
func TestOddCall(t *testing.T) {
	a, b := tcpPair(t)
	const kind = 1
	cs, _ := newSessionPair(t, a, b, func(s *Stream) {
		_ = ServeCall(s, func(_ context.Context, m message) (int, error) { return m.N + 1, nil })
	})
	for _, test := range oddMessages() {
		if len(test.data) == 0 {
			continue
		}
		st, err := cs.Open(bg, kind, nil)
		assert.NilError(t, err, test.name)
		_, err = st.Write(test.data)
		assert.NilError(t, err, test.name)
		assert.NilError(t, st.CloseWrite(nil), test.name)
		_, err = st.Read(make([]byte, 1))
		var reset *ResetError
		assert.Assert(t, errors.As(err, &reset), "%s: %v", test.name, err)
		assert.Equal(t, reset.Code, CodeInvalid, test.name)
		n, err := Call[message, int](bg, cs, kind, message{N: 1})
		assert.NilError(t, err, test.name)
		assert.Equal(t, n, 2)
	}
}

// TestOddHello guards against memory that anybody who connects can make a node allocate.
func TestOddHello(t *testing.T) {
	const maxAllocated = 1 << 20
	client, server := net.Pipe()
	nonce := append([]byte{stepHello, 0x81, 0xa5}, "nonce\xc6\xff\xff\xff\xff"...)
	go func() {
		_ = WriteFrame(client, Frame{Type: TypeHello, Payload: nonce})
		_, _ = ReadFrame(client)
	}()
	var err error
	n := allocated(func() { _, err = Server(bg, server, nil, named("b")...) })
	var he *HandshakeError
	assert.Assert(t, errors.As(err, &he), "%v", err)
	assert.Equal(t, he.Reason, "malformed hello")
	assert.Assert(t, n < maxAllocated, "%d bytes", n)
}

// FuzzDecode guards against a message that ends the process, and against a check that refuses
// what it should not: every encoded value must pass.
func FuzzDecode(f *testing.F) {
	for _, m := range oddMessages() {
		f.Add(m.data[:min(len(m.data), 1<<10)])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var v message
		if Decode(data, &v) != nil {
			return
		}
		again, err := msgpack.Marshal(&v)
		assert.NilError(t, err)
		assert.NilError(t, Decode(again, &v))
	})
}
