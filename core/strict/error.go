package strict

// MalformedError reports a response that violates the format of HTTP/1.1. Whether the server
// executed the request is not known.
type MalformedError struct {
	Detail string
}

// Error implements error.
func (e *MalformedError) Error() string {
	return "malformed HTTP response: " + e.Detail
}
