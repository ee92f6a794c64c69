package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"dogwoodsill.org/core/model"
)

// View is a decoded, read-only form of a state. It is safe for concurrent use.
type View struct {
	Next       uint64 // offset after the last applied record
	Customers  map[string]model.Customer
	Keys       map[string]model.Key // by identifier
	Digests    map[string]string    // from digest to key identifier
	Services   map[string]model.Service
	Routes     map[string]model.Route
	Importance map[string]model.Importance
	Fleet      model.Fleet
	Revisions  map[ObjectID]uint64
	Created    map[ObjectID]uint64 // revision of the change that created an object
}

// View decodes the state. Bodies were validated when they were applied; a body
// that still can't be decoded is omitted.
func (s *State) View() *View {
	v := &View{
		Next:       s.Next,
		Customers:  map[string]model.Customer{},
		Keys:       map[string]model.Key{},
		Digests:    map[string]string{},
		Services:   map[string]model.Service{},
		Routes:     map[string]model.Route{},
		Importance: map[string]model.Importance{},
		Revisions:  make(map[ObjectID]uint64, len(s.Objects)),
		Created:    make(map[ObjectID]uint64, len(s.Objects)),
	}
	for id, o := range s.Objects {
		v.Revisions[id] = o.Revision
		v.Created[id] = o.Created
		v.add(o.Name, s.decode(id, o))
	}
	v.indexDigests()
	return v
}

// indexDigests maps digests to keys. If several objects have the same digest, a
// revoked one takes precedence, so that a key can't be used after its
// revocation, and then the one with the lowest identifier, so that all nodes
// choose the same one.
func (v *View) indexDigests() {
	for _, id := range slices.Sorted(maps.Keys(v.Keys)) {
		k := v.Keys[id]
		other, ok := v.Digests[k.Digest]
		if !ok || k.Revoked && !v.Keys[other].Revoked {
			v.Digests[k.Digest] = id
		}
	}
}

func (v *View) add(name string, body any) {
	switch t := body.(type) {
	case model.Customer:
		v.Customers[name] = t
	case model.Key:
		v.Keys[name] = t
	case model.Service:
		v.Services[name] = t
	case model.Route:
		v.Routes[name] = t
	case model.Importance:
		v.Importance[name] = t
	case model.Fleet:
		v.Fleet = t
	}
}

// decoded caches the decoded body of an object at a revision, so that a view
// after one change decodes one body instead of thousands.
type decoded struct {
	revision uint64
	body     any // nil if it can't be decoded
}

// decode returns the decoded body of an object from the cache, or decodes it.
func (s *State) decode(id ObjectID, o Object) any {
	if d, ok := s.bodies[id]; ok && d.revision == o.Revision {
		return d.body
	}
	d := decoded{revision: o.Revision, body: decodeBody(o)}
	s.bodies[id] = d
	return d.body
}

func decodeBody(o Object) any {
	switch o.Kind {
	case model.KindCustomer:
		return decodeAs[model.Customer](o.Body)
	case model.KindKey:
		return decodeAs[model.Key](o.Body)
	case model.KindService:
		return decodeAs[model.Service](o.Body)
	case model.KindRoute:
		return decodeAs[model.Route](o.Body)
	case model.KindImportance:
		return decodeAs[model.Importance](o.Body)
	case model.KindFleet:
		return decodeAs[model.Fleet](o.Body)
	default:
		return nil
	}
}

func decodeAs[T any](body []byte) any {
	var t T
	if json.Unmarshal(body, &t) != nil {
		return nil
	}
	return t
}

// ValidKey reports whether the key with the given identifier may be used: it
// exists, is not revoked and belongs to an existing customer.
func (v *View) ValidKey(id string) bool {
	k, ok := v.Keys[id]
	if !ok || k.Revoked {
		return false
	}
	_, ok = v.Customers[k.Customer]
	return ok
}

// Digest returns a hash of all names and revisions. Views of the same state have
// the same digest.
func (v *View) Digest() string {
	ids := slices.SortedFunc(maps.Keys(v.Revisions), func(a, b ObjectID) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	h := sha256.New()
	for _, id := range ids {
		fmt.Fprintf(h, "%s\x00%s\x00%d\x00", id.Kind, id.Name, v.Revisions[id])
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}
