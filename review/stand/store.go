package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store in the form of a log, as
// PROTOCOL.md describes it. It loses nothing and responds at once.
type Store struct {
	Addr string

	mu     sync.Mutex
	topics map[string]*topic
	wake   chan struct{} // closed and replaced after each append
}

type topic struct {
	records [][]byte
	newest  map[string]item
}

type item struct {
	value  []byte
	offset int
}

func startStore(ip string) (*Store, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{Addr: ln.Addr().String(), topics: map[string]*topic{}, wake: make(chan struct{})}
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]item{}}
		s.topics[name] = t
	}
	return t
}

func (s *Store) add(name string, recs ...[]byte) int {
	t := s.topic(name)
	first := len(t.records)
	for _, rec := range recs {
		if strings.HasPrefix(name, "keyed.") && len(rec) > 0 && len(rec) > int(rec[0]) {
			n := 1 + int(rec[0])
			key := string(rec[1:n])
			if len(rec) == n {
				delete(t.newest, key)
			} else {
				t.newest[key] = item{rec[n:], len(t.records)}
			}
		}
		t.records = append(t.records, rec)
	}
	close(s.wake)
	s.wake = make(chan struct{})
	return first
}

// PutConfig writes the operator's configuration. Its return is the acknowledgement.
func (s *Store) PutConfig(doc any) {
	data, _ := json.Marshal(doc)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add("keyed.op", append([]byte("\x06config"), data...))
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("Topic")
	switch r.URL.Path {
	case "/log-append":
		if name == "keyed.op" || name == "keyed.servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var recs [][]byte
		for len(data) >= 4 {
			n := int(binary.BigEndian.Uint32(data))
			if len(data) < 4+n {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			recs = append(recs, data[4:4+n])
			data = data[4+n:]
		}
		s.mu.Lock()
		first := s.add(name, recs...)
		s.mu.Unlock()
		reply(w, map[string]any{"Offset": first, "End": first + len(recs)})
	case "/log-read":
		s.read(w, r, name)
	case "/log-newest":
		s.listNewest(w, name, q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, name string) {
	from, _ := strconv.Atoi(r.URL.Query().Get("From"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer timer.Stop()
	for expired := ms == 0; ; {
		s.mu.Lock()
		records, wake := s.topic(name).records, s.wake
		s.mu.Unlock()
		if from < len(records) || expired {
			var out []byte
			out = binary.BigEndian.AppendUint64(out, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < len(records); i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(records[i])))
				out = append(out, records[i]...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-wake:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) listNewest(w http.ResponseWriter, name, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	keys := make([]string, 0, len(t.newest))
	for k := range t.newest {
		if k > after || after == "" {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	for _, k := range keys[:min(len(keys), 500)] {
		items = append(items, map[string]any{
			"Key": k, "Value": base64.StdEncoding.EncodeToString(t.newest[k].value), "Offset": t.newest[k].offset,
		})
	}
	reply(w, map[string]any{"items": items, "MorePages": len(keys) > 500, "End": len(t.records)})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
