package relay

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"sync"

	"dogwoodsill.org/core/crash"
)

// buffers holds the buffers for copying bodies.
var buffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// CopyBody copies a body through a pooled buffer. The wrapper types hide WriteTo
// and ReadFrom from package io, since these would allocate buffers of their own.
func CopyBody(w io.Writer, r io.Reader) error {
	buf := buffers.Get().(*[copyBufferBytes]byte)
	defer buffers.Put(buf)
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{r}, buf[:])
	return err
}

// maxBufferedRequest is the size of the largest request body that is buffered for
// further attempts.
const maxBufferedRequest = 1 << 20

// Body is the body of a request and its trailer.
type Body struct {
	r        io.Reader
	blocks   [][]byte
	buffered bool // blocks are the complete body
	consumed bool
	trailer  func() http.Header
}

// bodyBlockBytes is the size of the blocks of a buffered body. A body that doesn't arrive
// occupies no more than one block.
const bodyBlockBytes = 32 << 10

// BodyOption configures NewBody.
type BodyOption func(*bodyOptions)

type bodyOptions struct {
	reserve func(n int64) bool
}

// WithReserve sets a function that is called before n bytes of memory are used for the body. If
// it returns false, the rest of the body is not buffered.
func WithReserve(reserve func(n int64) bool) BodyOption {
	return func(o *bodyOptions) { o.reserve = reserve }
}

// IsBuffered reports whether NewBody buffers a body of n bytes if there is memory for it.
func IsBuffered(n int64) bool { return n >= 0 && n <= maxBufferedRequest }

// NewBody returns the body of a request with n bytes; n is -1 if the length is
// unknown. The function trailer is called after the end of the body and may be
// nil. If the length is known and at most maxBufferedRequest, NewBody reads the
// whole body, so that it can be sent more than once.
func NewBody(r io.Reader, n int64, trailer func() http.Header, opts ...BodyOption) (*Body, error) {
	b := &Body{r: r, trailer: trailer}
	if !IsBuffered(n) {
		return b, nil
	}
	o := bodyOptions{reserve: func(int64) bool { return true }}
	for _, f := range opts {
		f(&o)
	}
	for left := n; left > 0; {
		size := min(left, bodyBlockBytes)
		if !o.reserve(size) {
			b.r = io.MultiReader(b.read(), r)
			b.blocks = nil
			return b, nil
		}
		block := make([]byte, size)
		if _, err := io.ReadFull(r, block); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return b, err
		}
		b.blocks = append(b.blocks, block)
		left -= size
	}
	b.buffered = true
	return b, nil
}

// Buffered reports whether the whole body is buffered, so that it can be sent more than once.
func (b *Body) Buffered() bool { return b.buffered }

// read returns a reader of the buffered blocks.
func (b *Body) read() io.Reader {
	if len(b.blocks) == 1 {
		return bytes.NewReader(b.blocks[0])
	}
	readers := make([]io.Reader, len(b.blocks))
	for i, block := range b.blocks {
		readers[i] = bytes.NewReader(block)
	}
	return io.MultiReader(readers...)
}

// open returns a reader of the body for one attempt, or false if the body was
// consumed by an earlier attempt and is not buffered.
func (b *Body) open() (io.Reader, bool) {
	if b.buffered && len(b.blocks) == 0 {
		return http.NoBody, true
	}
	if b.buffered {
		return b.read(), true
	}
	if b.consumed {
		return nil, false
	}
	b.consumed = true
	return b.r, true
}

// prefixDigest returns the digest of the body for a fingerprint. If the body is not
// buffered, it waits for the start of the body. It returns false if the body was
// consumed or can't be read.
func (b *Body) prefixDigest() (crash.Digest, bool) {
	var d crash.BodyDigest
	if b.buffered {
		for _, block := range b.blocks {
			_, _ = d.Write(block)
		}
		d.End()
		return d.Sum()
	}
	if b.consumed {
		return crash.Digest{}, false
	}
	prefix, err := io.ReadAll(io.LimitReader(b.r, crash.BodyPrefixBytes))
	b.r = io.MultiReader(bytes.NewReader(prefix), &continuedReader{r: b.r, err: err})
	if err != nil {
		return crash.Digest{}, false
	}
	_, _ = d.Write(prefix)
	if len(prefix) < crash.BodyPrefixBytes {
		d.End()
	}
	return d.Sum()
}

// continuedReader returns an earlier error of a reader, or continues to read.
type continuedReader struct {
	r   io.Reader
	err error
}

// Read implements io.Reader.
func (c *continuedReader) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	return c.r.Read(p)
}

// available reports whether open can still return a reader.
func (b *Body) available() bool {
	return b.buffered || !b.consumed
}

func (b *Body) packTrailer() []byte {
	if b.trailer == nil {
		return nil
	}
	h := b.trailer()
	if len(h) == 0 {
		return nil
	}
	data, err := pack(h)
	if err != nil {
		return nil
	}
	return data
}

// Digest returns the SHA-256 digest of the body, or nil if the body is not
// buffered.
func (b *Body) Digest() []byte {
	if !b.buffered {
		return nil
	}
	sum := sha256.New()
	for _, block := range b.blocks {
		_, _ = sum.Write(block)
	}
	return sum.Sum(nil)
}
