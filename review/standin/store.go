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

// Tables that the system may not write.
const workersTable = "servers"

// Limits of the store's calls.
const (
	maxPageRows = 500
	maxWait     = 30 * time.Second
)

// rowKey identifies a row.
type rowKey struct{ table, part, key string }

// storedRow is a row, or the mark of one that is gone.
type storedRow struct {
	value []byte
	ver   uint64
	gone  bool
}

// wireRow is a row in calls and answers.
type wireRow struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"private_key"`
	Value []byte `json:"value,omitempty"`
	Ver   uint64 `json:"ver"`
	Gone  bool   `json:"gone,omitempty"`
}

// store stands in for the platform's metadata store: rows-tx, rows-get and rows-feed of its pages. It
// answers every call at once, and keeps its whole history.
type store struct {
	start    time.Time
	listener net.Listener

	mutex   sync.Mutex
	rows    map[rowKey]storedRow
	ver     uint64
	changed chan struct{}
}

// startStore serves a store at a free port of a host.
func startStore(host string) (*store, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{start: time.Now(), listener: listener, rows: make(map[rowKey]storedRow), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tillerfall/rows-get", s.get)
	mux.HandleFunc("GET /tillerfall/rows-feed", s.feed)
	mux.HandleFunc("POST /tillerfall/rows-tx", s.transact)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a row as the operator or a worker does. A nil value removes it.
func (s *store) put(table, key string, value any) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.ver++
	row := storedRow{ver: s.ver, gone: value == nil}
	if value != nil {
		row.value, _ = json.Marshal(value)
	}
	s.rows[rowKey{table, "", key}] = row
	s.notify()
}

// notify wakes the calls that wait for a change. The mutex must be held.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(writer http.ResponseWriter, status int, rows []wireRow, more bool) {
	if rows == nil {
		rows = []wireRow{}
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(map[string]any{
		"rows": rows, "more": more, "ver": s.ver, "now_ms": time.Since(s.start).Milliseconds() + 1000,
	})
}

func (s *store) get(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var rows []wireRow
	for at, row := range s.rows {
		until := query.Get("target_version")
		if row.gone || at.table != query.Get("table") || at.part != query.Get("part") || at.key < query.Get("from") || (until != "" && at.key >= until) {
			continue
		}
		rows = append(rows, wireRow{Table: at.table, Part: at.part, Key: at.key, Value: row.value, Ver: row.ver})
	}
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	more := len(rows) > limit
	s.answer(writer, http.StatusOK, rows[:min(limit, len(rows))], more)
}

func (s *store) feed(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWait))
	defer timeout.Stop()
	for over := false; ; {
		s.mutex.Lock()
		var rows []wireRow
		for at, row := range s.rows {
			if at.table == query.Get("table") && row.ver > after {
				rows = append(rows, wireRow{Table: at.table, Part: at.part, Key: at.key, Value: row.value, Ver: row.ver, Gone: row.gone})
			}
		}
		if len(rows) > 0 || over {
			sort.Slice(rows, func(a, b int) bool { return rows[a].Ver < rows[b].Ver })
			s.answer(writer, http.StatusOK, rows, false)
			s.mutex.Unlock()
			return
		}
		changed := s.changed
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			over = true
		case <-request.Context().Done():
			return
		}
	}
}

func (s *store) transact(writer http.ResponseWriter, request *http.Request) {
	var call struct {
		Conditions []wireRow `json:"expected_revision"`
		Put        []wireRow `json:"put"`
		Remove     []wireRow `json:"remove"`
	}
	if json.NewDecoder(request.Body).Decode(&call) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, row := range append(call.Put, call.Remove...) {
		if row.Table == workersTable {
			writer.WriteHeader(http.StatusForbidden)
			return
		}
	}
	holds, found := true, []wireRow{}
	for _, condition := range call.Conditions {
		row := s.rows[rowKey{condition.Table, condition.Part, condition.Key}]
		if row.gone {
			row = storedRow{}
		}
		holds = holds && row.ver == condition.Ver
		if row.ver != 0 {
			found = append(found, wireRow{Table: condition.Table, Part: condition.Part, Key: condition.Key, Value: row.value, Ver: row.ver})
		}
	}
	if !holds {
		s.answer(writer, http.StatusPreconditionFailed, found, false)
		return
	}
	s.ver++
	for _, row := range call.Put {
		s.rows[rowKey{row.Table, row.Part, row.Key}] = storedRow{value: row.Value, ver: s.ver}
	}
	for _, row := range call.Remove {
		s.rows[rowKey{row.Table, row.Part, row.Key}] = storedRow{ver: s.ver, gone: true}
	}
	s.notify()
	s.answer(writer, http.StatusOK, nil, false)
}
