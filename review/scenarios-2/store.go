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

// rowID identifies a row of the store.
type rowID struct{ table, part, key string }

// rowState is a row, or the mark of a removed one.
type rowState struct {
	value   []byte
	version uint64
	gone    bool
}

// wireRow is a row as it is sent.
type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"private_key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Gone    bool   `json:"gone,omitempty"`
}

// store is a stand-in for the platform's metadata store. It is linearizable and keeps its whole
// history.
type store struct {
	server  *http.Server
	address string
	started time.Time

	mutex   sync.Mutex
	rows    map[rowID]rowState
	version uint64
	changed chan struct{}
}

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

func startStore(host string) (*store, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), started: time.Now(),
		rows: map[rowID]rowState{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tillerfall/rows-get", s.get)
	mux.HandleFunc("GET /tillerfall/rows-feed", s.feed)
	mux.HandleFunc("POST /tillerfall/rows-tx", s.transact)
	s.server = &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		time.Sleep(answerTime)
		mux.ServeHTTP(writer, request)
	})}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a row as the operator or a worker does. A nil value removes it.
func (s *store) put(table, key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.rows[rowID{table, "", key}] = rowState{value: content, version: s.version, gone: value == nil}
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// list returns the rows of a table that changed after a version, in order of their keys or, for a feed, of
// their versions.
func (s *store) list(table, part string, after uint64, feed bool) []wireRow {
	var rows []wireRow
	for id, row := range s.rows {
		if id.table != table || (!feed && (id.part != part || row.gone)) || row.version <= after {
			continue
		}
		wire := wireRow{Table: id.table, Part: id.part, Key: id.key, Version: row.version, Gone: row.gone}
		if !row.gone {
			wire.Value = row.value
		}
		rows = append(rows, wire)
	}
	sort.Slice(rows, func(i, j int) bool {
		if feed {
			return rows[i].Version < rows[j].Version
		}
		return rows[i].Key < rows[j].Key
	})
	return rows
}

func (s *store) answer(writer http.ResponseWriter, status int, rows []wireRow, more bool) {
	if rows == nil {
		rows = []wireRow{}
	}
	body, _ := json.Marshal(map[string]any{
		"rows": rows, "more": more, "ver": s.version, "now_ms": 1000 + time.Since(s.started).Milliseconds(),
	})
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}

func (s *store) get(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	var page []wireRow
	for _, row := range s.list(query.Get("table"), query.Get("part"), 0, false) {
		if from := query.Get("from"); from != "" && row.Key < from {
			continue
		}
		if to := query.Get("target_version"); to != "" && row.Key >= to {
			continue
		}
		page = append(page, row)
	}
	more := len(page) > limit
	if more {
		page = page[:limit]
	}
	s.answer(writer, http.StatusOK, page, more)
}

func (s *store) feed(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; ; {
		s.mutex.Lock()
		rows, changed := s.list(query.Get("table"), "", after, true), s.changed
		if len(rows) > 0 || !waiting {
			s.answer(writer, http.StatusOK, rows, false)
			s.mutex.Unlock()
			return
		}
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-request.Context().Done():
			return
		}
	}
}

func (s *store) transact(writer http.ResponseWriter, request *http.Request) {
	var transaction struct {
		Expected []wireRow `json:"expected_revision"`
		Put      []wireRow `json:"put"`
		Remove   []wireRow `json:"remove"`
	}
	if json.NewDecoder(request.Body).Decode(&transaction) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, expected := range transaction.Expected {
		row := s.rows[rowID{expected.Table, expected.Part, expected.Key}]
		version := row.version
		if row.gone {
			version = 0
		}
		if version != expected.Version {
			s.answer(writer, http.StatusPreconditionFailed, nil, false)
			return
		}
	}
	s.version++
	for _, put := range transaction.Put {
		s.rows[rowID{put.Table, put.Part, put.Key}] = rowState{value: put.Value, version: s.version}
	}
	for _, remove := range transaction.Remove {
		s.rows[rowID{remove.Table, remove.Part, remove.Key}] = rowState{version: s.version, gone: true}
	}
	s.notify()
	s.answer(writer, http.StatusOK, nil, false)
}
