package strict

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzScan guards against a check that goes on in the body of a response that net/http accepts, or
// ends before it.
func FuzzScan(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nX-A: b\r\n c: d\r\n\r\nbody", "HTTP/1.1 103 Early Hints\nLink: a\n\nHTTP/1.0 200\n\nbody",
		"HTTP/1.1 101 Switching\r\n\r\n", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1                          103 x\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var s headScanner
		s.expectHead()
		head, accepted := 0, true
		for accepted && head < len(data) && s.state != inBody {
			head++
			_, malformed := s.scan(data[head-1 : head])
			accepted = malformed == nil
		}
		if !accepted {
			return
		}
		source := bytes.NewReader(data)
		r := bufio.NewReader(source)
		for {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			assert.NilError(t, CheckNames(resp.Header))
			if interim := resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols; !interim {
				break
			}
		}
		assert.Equal(t, s.state, inBody)
		assert.Equal(t, head, len(data)-source.Len()-r.Buffered())
	})
}
