package strict

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// checkTrailer makes the body of a response end with a *MalformedError in place of io.EOF if the
// name of a trailer field is malformed.
func checkTrailer(resp *http.Response) {
	if len(resp.TransferEncoding) > 0 { // no other response has a trailer
		resp.Body = &checkedBody{ReadCloser: resp.Body, resp: resp}
	}
}

// checkedBody is a body whose trailer is checked.
type checkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := CheckNames(b.resp.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}

// CheckNames returns a *MalformedError if the name of a field is malformed.
func CheckNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return &MalformedError{Detail: fmt.Sprintf("the name of a field is %.40q", name)}
		}
	}
	return nil
}
