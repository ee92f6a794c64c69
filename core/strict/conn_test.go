package strict

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// connPair returns both ends of a TCP connection.
func connPair(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = ln.Close() }()
	client, err := net.Dial("tcp", ln.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	server, err := ln.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return NewConn(client), server.(*net.TCPConn)
}

// TestEndOfData guards against a reset that looks like the end of a response, because a write
// learns of it first, and against an end in order that looks like a reset.
func TestEndOfData(t *testing.T) {
	for _, test := range []struct {
		name  string
		end   func(server *net.TCPConn) error
		write error // with which the writes of the client end
		read  error
	}{
		{"reset", func(server *net.TCPConn) error {
			return errors.Join(server.SetLinger(0), server.Close())
		}, syscall.ECONNRESET, syscall.ECONNRESET},
		{"closed with requests unread", func(server *net.TCPConn) error {
			_, err := server.Read(make([]byte, 1))
			return errors.Join(err, server.Close())
		}, syscall.ECONNRESET, syscall.ECONNRESET},
		{"closed, then reset", func(server *net.TCPConn) error {
			return errors.Join(server.CloseWrite(), server.SetLinger(0), server.Close())
		}, syscall.EPIPE, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			client, server := connPair(t)
			_, err := client.Write([]byte("request"))
			assert.NilError(t, err)
			_, err = server.Write([]byte("part"))
			assert.NilError(t, err)
			assert.NilError(t, test.end(server))
			for err == nil {
				_, err = client.Write([]byte("more"))
			}
			assert.ErrorIs(t, err, test.write)
			data, err := io.ReadAll(client)
			assert.ErrorIs(t, err, test.read)
			assert.Equal(t, string(data), "part")
		})
	}
}

// TestEndOfDataAwaitsNoWrite guards against a response that is held up by a write which the peer
// doesn't read.
func TestEndOfDataAwaitsNoWrite(t *testing.T) {
	client, server := connPair(t)
	go func() { _, _ = io.Copy(client, endless{}) }()
	_, err := server.Write([]byte("all"))
	assert.NilError(t, err)
	assert.NilError(t, server.CloseWrite())
	data, err := io.ReadAll(client)
	assert.NilError(t, err)
	assert.Equal(t, string(data), "all")
}

// endless is a reader without an end.
type endless struct{}

// Read implements io.Reader.
func (endless) Read(p []byte) (int, error) { return len(p), nil }
