package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

type rowKey struct{ table, part, key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"private_key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Gone    bool   `json:"gone,omitempty"`
}

// store is the platform's metadata store: rows with versions from one counter, conditional transactions, reads and
// feeds. It keeps all of its history.
type store struct {
	address string
	started time.Time

	mutex   sync.Mutex
	rows    map[rowKey]row
	version uint64
	changed chan struct{}
}

func newStore(host string) (*store, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), started: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tillerfall/rows-get", s.get)
	mux.HandleFunc("GET /tillerfall/rows-feed", s.feed)
	mux.HandleFunc("POST /tillerfall/rows-tx", s.transact)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a row as the operator or a worker would.
func (s *store) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.rows[rowKey{table: table, key: key}] = row{Table: table, Key: key, Value: encoded, Version: s.version}
	s.notify()
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.rows[rowKey{table: table, key: key}] = row{Table: table, Key: key, Version: s.version, Gone: true}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(writer http.ResponseWriter, status int, body map[string]any) {
	body["ver"] = s.version
	body["now_ms"] = time.Since(s.started).Milliseconds() + 1
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (s *store) get(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	found := []row{}
	for key, stored := range s.rows {
		if key.table != query.Get("table") || key.part != query.Get("part") || stored.Gone || key.key < query.Get("from") {
			continue
		}
		if end := query.Get("target_version"); end != "" && key.key >= end {
			continue
		}
		found = append(found, stored)
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > limit
	if more {
		found = found[:limit]
	}
	s.answer(writer, http.StatusOK, map[string]any{"rows": found, "more": more})
}

func (s *store) feed(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(min(wait, 30000)) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mutex.Lock()
		changed := []row{}
		for key, stored := range s.rows {
			if key.table == query.Get("table") && stored.Version > after {
				changed = append(changed, stored)
			}
		}
		if len(changed) > 0 || timedOut {
			sort.Slice(changed, func(a, b int) bool { return changed[a].Version < changed[b].Version })
			s.answer(writer, http.StatusOK, map[string]any{"rows": changed})
			s.mutex.Unlock()
			return
		}
		signal := s.changed
		s.mutex.Unlock()
		select {
		case <-signal:
		case <-timer.C:
			timedOut = true
		case <-request.Context().Done():
			return
		}
	}
}

func (s *store) transact(writer http.ResponseWriter, request *http.Request) {
	var transaction struct {
		Conditions []row `json:"expected_revision"`
		Put        []row `json:"put"`
		Remove     []row `json:"remove"`
	}
	if json.NewDecoder(request.Body).Decode(&transaction) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	stored := []row{}
	conflict := false
	for _, condition := range transaction.Conditions {
		current := s.rows[rowKey{condition.Table, condition.Part, condition.Key}]
		version := current.Version
		if current.Gone {
			version = 0
		}
		conflict = conflict || version != condition.Version
		if version != 0 {
			stored = append(stored, current)
		}
	}
	if conflict {
		s.answer(writer, http.StatusPreconditionFailed, map[string]any{"rows": stored})
		return
	}
	s.version++
	for _, put := range transaction.Put {
		put.Version = s.version
		s.rows[rowKey{put.Table, put.Part, put.Key}] = put
	}
	for _, removed := range transaction.Remove {
		removed.Version, removed.Gone, removed.Value = s.version, true, nil
		s.rows[rowKey{removed.Table, removed.Part, removed.Key}] = removed
	}
	s.notify()
	s.answer(writer, http.StatusOK, map[string]any{})
}
