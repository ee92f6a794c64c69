package entry

import (
	"net/http"

	"dogwoodsill.org/core/keys"
	"dogwoodsill.org/core/refuse"
	"dogwoodsill.org/node/store"
)

// identity is the customer of a request with the identifier of its API key and the key itself.
type identity struct {
	customer, keyID string
	credential      keys.Credential
}

// identify returns the customer of the API key that a request carries. A request without a key
// has no customer. A request with an unknown or revoked key is refused, and so is one that
// would pass its key on to the upstream: the request can't be changed instead, since the
// upstream would then run another one than was sent.
func (s *Server) identify(cur *store.Config, r *http.Request) (identity, *refuse.Error) {
	c := s.protocol.Credential(r.Header)
	if c.Key == "" {
		return identity{}, nil
	}
	id, ok := cur.View.Digests[keys.Digest(c.Key)]
	if !ok {
		return identity{}, refuse.New(refuse.KeyInvalid, "the key is not known")
	}
	if !cur.View.ValidKey(id) {
		return identity{}, refuse.New(refuse.KeyRevoked, "the key was revoked")
	}
	if e := checkKeyPlace(cur, r, c); e != nil {
		return identity{}, e
	}
	return identity{customer: cur.View.Keys[id].Customer, keyID: id, credential: c}, nil
}

// checkKeyPlace refuses a request that contains its key elsewhere than in the header that
// carries it, or another key besides.
func checkKeyPlace(cur *store.Config, r *http.Request, c keys.Credential) *refuse.Error {
	if len(r.Header.Values(c.Header)) > 1 {
		return refuse.New(refuse.BadRequest, "header %s is sent more than once", c.Header)
	}
	if keys.Contains(r.RequestURI, c.Key) || keys.Contains(r.Host, c.Key) {
		return refuse.New(refuse.BadRequest, "the URI contains the API key, which may only be sent in header %s", c.Header)
	}
	if name := keys.FindCopy(r.Header, c); name != "" {
		return refuse.New(refuse.BadRequest, "another header than %s contains the API key", c.Header)
	}
	other := keys.FromBearer(r.Header)
	if other.Key == "" || other.Header == c.Header {
		return nil
	}
	if _, known := cur.View.Digests[keys.Digest(other.Key)]; known {
		return refuse.New(refuse.BadRequest, "headers %s and %s both carry an API key", c.Header, other.Header)
	}
	return nil
}
