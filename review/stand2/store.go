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

// store is a stand-in of the platform's store: the calls of its log that PROTOCOL.md tells, without
// groups. It loses nothing and answers in a few milliseconds.
type store struct {
	addr string

	mu     sync.Mutex
	topics map[string]*topic
	news   chan struct{} // closed by the next append
}

type topic struct {
	records [][]byte
	newest  map[string]keyed
}

type keyed struct {
	value  []byte
	offset int
}

func startStore(ip string) (*store, error) {
	s := &store{topics: map[string]*topic{}, news: make(chan struct{})}
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s.addr = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.handleAppend)
	mux.HandleFunc("GET /log-read", s.handleRead)
	mux.HandleFunc("GET /log-newest", s.handleNewest)
	go func() { _ = http.Serve(ln, mux) }()
	return s, nil
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyed{}}
		s.topics[name] = t
	}
	return t
}

// add appends records to a topic. The caller holds mu.
func (s *store) add(name string, records ...[]byte) {
	t := s.topic(name)
	for _, rec := range records {
		if strings.HasPrefix(name, "keyed.") && len(rec) > 0 && len(rec) >= 1+int(rec[0]) {
			n := 1 + int(rec[0])
			t.newest[string(rec[1:n])] = keyed{rec[n:], len(t.records)}
		}
		t.records = append(t.records, rec)
	}
	close(s.news)
	s.news = make(chan struct{})
}

// putConfig stores a configuration as the operator does, and returns when it was acknowledged.
func (s *store) putConfig(doc any) time.Time {
	data, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add("keyed.op", append(append([]byte{6}, "config"...), data...))
	return time.Now()
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("Topic")
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for len(data) >= 4 {
		n := int(binary.BigEndian.Uint32(data))
		if len(data) < 4+n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, data[4:4+n])
		data = data[4+n:]
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	first := len(s.topic(name).records)
	if at := r.URL.Query().Get("At"); at != "" && at != strconv.Itoa(first) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int{"End": first})
		return
	}
	s.add(name, records...)
	writeJSON(w, http.StatusOK, map[string]int{"Offset": first, "End": first + len(records)})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("From"))
	waitMS, _ := strconv.Atoi(q.Get("WaitMs"))
	deadline := time.NewTimer(time.Duration(min(waitMS, 30000)) * time.Millisecond)
	defer deadline.Stop()
	for expired := false; ; {
		s.mu.Lock()
		t := s.topic(q.Get("Topic"))
		records, news := t.records, s.news
		s.mu.Unlock()
		if len(records) > from || expired {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < len(records); i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(records[i])))
				out = append(out, records[i]...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-news:
		case <-deadline.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("Topic"))
	items := []map[string]any{}
	names := make([]string, 0, len(t.newest))
	for name := range t.newest {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if k := t.newest[name]; name > after && len(k.value) > 0 {
			items = append(items, map[string]any{"Key": name, "Value": base64.StdEncoding.EncodeToString(k.value), "Offset": k.offset})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "MorePages": false, "End": len(t.records)})
}
