package relay

import (
	"net/http"
	"net/textproto"
	"strings"
)

// ReservedPrefix is the prefix of the names of headers that only nodes may set.
const ReservedPrefix = "Dogwoodsill-"

var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEndHeader returns a copy of a header without the hop-by-hop fields (RFC
// 9110, section 7.6.1) and without the fields that only nodes may set.
func EndToEndHeader(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	for name := range out {
		if strings.HasPrefix(name, ReservedPrefix) {
			delete(out, name)
		}
	}
	return out
}

// OriginForm returns the target of a request as its sender wrote it, without the scheme and the
// authority that it may begin with (RFC 9112, section 3.2). The path that net/http parses is
// no replacement, since another spelling of it is another request to some upstreams.
func OriginForm(r *http.Request) string {
	uri := r.RequestURI
	if strings.HasPrefix(uri, "/") || r.URL.Host == "" {
		return uri
	}
	_, uri, _ = strings.Cut(uri, "//")
	i := strings.IndexAny(uri, "/?")
	switch {
	case i < 0:
		return "/"
	case uri[i] == '?':
		return "/" + uri[i:]
	default:
		return uri[i:]
	}
}

// setTarget sets the URL of a request so that net/http sends the given request target without
// a change. It reports false for the few that net/http can't send so.
func setTarget(r *http.Request, uri string) bool {
	if !strings.HasPrefix(uri, "//") {
		r.URL.Opaque, r.URL.Path, r.URL.RawPath, r.URL.RawQuery, r.URL.ForceQuery = uri, "", "", "", false
	}
	return r.URL.RequestURI() == uri
}
