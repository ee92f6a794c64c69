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
