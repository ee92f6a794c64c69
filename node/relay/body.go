package relay

import (
	"bytes"
	"crypto/sha256"
	"io"
	"net/http"
	"sync"
)

// buffers holds the buffers that bodies are copied through.
var buffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// CopyBody copies a body. The wrapper keeps io from using methods of the reader
// that would allocate a buffer of their own.
func CopyBody(w io.Writer, r io.Reader) error {
	buf := buffers.Get().(*[copyBytes]byte)
	defer buffers.Put(buf)
	_, err := io.CopyBuffer(struct{ io.Writer }{w}, struct{ io.Reader }{r}, buf[:])
	return err
}

// repeatBytes is the largest request body that is kept for another attempt.
const repeatBytes = 1 << 20

// Body is the body of a request and its trailer.
type Body struct {
	r       io.Reader
	kept    []byte
	whole   bool // kept holds the whole body
	used    bool
	trailer func() http.Header
}

// NewBody returns the body of a request with n bytes, or -1 if the number is
// unknown. The trailer is read after the end of the body and may be nil. A
// short body is read at once, so that it can be sent again.
func NewBody(r io.Reader, n int64, trailer func() http.Header) (*Body, error) {
	b := &Body{r: r, trailer: trailer}
	if n < 0 || n > repeatBytes {
		return b, nil
	}
	kept, err := io.ReadAll(io.LimitReader(r, n))
	if err == nil && int64(len(kept)) < n {
		err = io.ErrUnexpectedEOF
	}
	b.kept = kept
	b.whole = true
	return b, err
}

// open returns a reader over the body for one attempt, or false if the body was
// used up by an earlier one.
func (b *Body) open() (io.Reader, bool) {
	if b.whole && len(b.kept) == 0 {
		return http.NoBody, true
	}
	if b.whole {
		return bytes.NewReader(b.kept), true
	}
	if b.used {
		return nil, false
	}
	b.used = true
	return b.r, true
}

// repeatable reports whether open can still return a reader.
func (b *Body) repeatable() bool {
	return b.whole || !b.used
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

// Digest returns the SHA-256 digest of the body, or nil if the body is not kept.
func (b *Body) Digest() []byte {
	if !b.whole {
		return nil
	}
	sum := sha256.Sum256(b.kept)
	return sum[:]
}
