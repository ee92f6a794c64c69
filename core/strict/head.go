package strict

import (
	"bytes"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// headState is the part of a response that a headScanner expects next.
type headState int

const (
	inBody       headState = iota // nothing is checked
	inStatusLine                  // of an interim or of the final response
	atLineStart                   // of a field line, a continued field value or the empty line
	inFieldName
	inFieldValue
	atHeadEnd // after the carriage return of the empty line
)

// maxKeptBytes is the number of bytes of a status line or a field name that a headScanner examines.
const maxKeptBytes = 32

// headScanner checks the heads of the responses to one request, that is of any number of interim
// responses and of the final one. It accepts what net/http rejects anyway. The zero value
// expects a body.
type headScanner struct {
	state headState
	kept  [maxKeptBytes]byte // start of the status line or of the field name
	n     int                // length of kept that is in use

	interim  bool // another response follows
	encoding bool // the version of the response has transfer encodings
}

// expectHead makes the next byte the first one of a status line.
func (s *headScanner) expectHead() {
	s.state, s.n = inStatusLine, 0
}

// scan checks the next bytes of a response. If they are malformed, it returns the number of bytes
// up to and including the first wrong one, and an error.
func (s *headScanner) scan(p []byte) (int, *MalformedError) {
	for i := 0; i < len(p) && s.state != inBody; i++ {
		if s.state == inFieldValue {
			left := bytes.IndexByte(p[i:], '\n')
			if left < 0 {
				break
			}
			i += left
		}
		if err := s.next(p[i]); err != nil {
			return i + 1, err
		}
	}
	return len(p), nil
}

func (s *headScanner) next(b byte) *MalformedError {
	switch s.state {
	case inStatusLine:
		if b != '\n' {
			s.keep(b)
			return nil
		}
		return s.endStatusLine()
	case atLineStart:
		switch b {
		case '\r':
			s.state = atHeadEnd
		case '\n':
			s.endHead()
		case ' ', '\t':
			s.state = inFieldValue // continues the one of the line before
		default:
			s.state, s.n = inFieldName, 0
			return s.next(b)
		}
	case inFieldName:
		switch {
		case b == ':':
			return s.endFieldName()
		case !httpguts.IsTokenRune(rune(b)):
			return &MalformedError{Detail: fmt.Sprintf("a field name contains %q", b)}
		}
		s.keep(b)
	case inFieldValue:
		if b == '\n' {
			s.state = atLineStart
		}
	case atHeadEnd:
		if b != '\n' {
			return &MalformedError{Detail: fmt.Sprintf("a line begins with a carriage return and %q", b)}
		}
		s.endHead()
	case inBody:
	}
	return nil
}

func (s *headScanner) keep(b byte) {
	if s.n < len(s.kept) {
		s.kept[s.n] = b
		s.n++
	}
}

// endStatusLine checks the version, of which net/http accepts any two digits.
func (s *headScanner) endStatusLine() *MalformedError {
	version, status, _ := bytes.Cut(s.kept[:s.n], []byte(" "))
	if !bytes.HasPrefix(version, []byte("HTTP/1.")) {
		return &MalformedError{Detail: fmt.Sprintf("the version is %q", version)}
	}
	status = bytes.TrimLeft(status, " ")
	if len(status) < 3 {
		return &MalformedError{Detail: "there is no status, or many spaces before it"}
	}
	s.interim = bytes.HasPrefix(status, []byte("1")) && !bytes.HasPrefix(status, []byte("101"))
	s.encoding = !bytes.Equal(version, []byte("HTTP/1.0"))
	s.state = atLineStart
	return nil
}

// endFieldName checks the name of a field. net/http ignores the transfer encoding of an HTTP/1.0
// response, whose body would contain the sizes of its chunks.
func (s *headScanner) endFieldName() *MalformedError {
	if !s.encoding && bytes.EqualFold(s.kept[:s.n], []byte("Transfer-Encoding")) {
		return &MalformedError{Detail: "a transfer encoding in an HTTP/1.0 response"}
	}
	s.state = inFieldValue
	return nil
}

// endHead handles the empty line after the fields.
func (s *headScanner) endHead() {
	if s.interim {
		s.expectHead()
		return
	}
	s.state = inBody
}
