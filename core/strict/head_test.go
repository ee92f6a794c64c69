package strict

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestScan checks where a head is malformed, or where its body begins, however the head is split
// into reads.
func TestScan(t *testing.T) {
	for _, test := range []struct {
		name string
		head string // up to the first wrong byte, or to the end
		ok   bool
	}{
		{"no field", "HTTP/1.1 200 OK\r\n\r\n", true},
		{"fields", "HTTP/1.1 200 OK\r\nX-A: b : c\r\nX_b!#$%&'*+-.^`|~9:\r\n\r\n", true},
		{"line feeds only", "HTTP/1.1 200 OK\nX-A: b\n\n", true},
		{"no reason", "HTTP/1.1 200\r\nX-A: b\r\n\r\n", true},
		{"continued value", "HTTP/1.1 200 OK\r\nX-A: b\r\n c : d\r\n\te f: g\r\nX-B: h\r\n\r\n", true},
		{"interim", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-B: c\r\n\r\n", true},
		{"interim after spaces", "HTTP/1.1   103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", true},
		{"switching protocols", "HTTP/1.1 101 Switching Protocols\r\n\r\n", true},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 4\r\nTransfer-Encodings: a\r\n\r\n", true},
		{"transfer encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", true},
		{"transfer encoding of HTTP/1.0", "HTTP/1.0 200 OK\r\nX-A: b\r\ntransfer-encoding:", false},
		{"HTTP/1.2", "HTTP/1.2 200 OK\r\n\r\n", true},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\n", false},
		{"space", "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length ", false},
		{"space in an interim response", "HTTP/1.1 103 Early Hints\r\nLink ", false},
		{"space after an interim response", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX ", false},
		{"control byte", "HTTP/1.1 200 OK\r\nX\x01", false},
		{"carriage return", "HTTP/1.1 200 OK\r\nX\r", false},
		{"carriage return first", "HTTP/1.1 200 OK\r\n\rX", false},
		{"no colon", "HTTP/1.1 200 OK\r\nX\n", false},
		{"no ASCII", "HTTP/1.1 200 OK\r\nX\xc3", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			const more = "\x01 : body\r\n \r\n"
			for size := 1; size <= len(test.head)+len(more); size++ {
				var s headScanner
				s.expectHead()
				checked, rest := 0, test.head+more
				var err *MalformedError
				for rest != "" && err == nil {
					part := rest[:min(size, len(rest))]
					rest = strings.TrimPrefix(rest, part)
					var n int
					n, err = s.scan([]byte(part))
					checked += n
				}
				assert.Equal(t, err == nil, test.ok, "reads of %d bytes: %v", size, err)
				if test.ok {
					assert.Equal(t, s.state, inBody)
				} else {
					assert.Equal(t, checked, len(test.head))
				}
			}
		})
	}
}
