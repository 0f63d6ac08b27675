package stub

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// runLogErrors marks errors of reading a run log file.
var runLogErrors = errs.Class("run log")

// Values of Run.End.
const (
	EndCancelled = "cancelled"
	EndCrashed   = "crashed"
	EndFinished  = "finished"
)

// Run is one request that a stub began to run.
type Run struct {
	ID             string    `json:"id"` // unique among all stubs and across restarts
	At             time.Time `json:"at"` // when the run began
	RequestID      string    `json:"request"`
	Attempt        string    `json:"attempt"`
	IdempotencyKey string    `json:"key"` // idempotency key; empty without one
	Index          string    `json:"index"`
	Version        uint64    `json:"version"`
	ShardCount     int       `json:"shards"` // number of shards of the snapshot
	Shard          int       `json:"shard"`
	End            string    `json:"end"` // how the run ended; empty while it runs
}

// RunLog is the run log of a stub and its counters since the process started.
type RunLog struct {
	ID           string `json:"id"`
	Attempts     int    `json:"attempts"` // shard requests received, including those that did not run
	Shed         int    `json:"shed"`     // shard requests rejected because the queue was full
	Crashes      int    `json:"crashes"`
	RefusedConns int    `json:"refused"` // connections reset because of the connection limit
	Runs         []Run  `json:"runs"`
}

// runRecorder keeps a run log in memory and, if configured, in a file. It writes
// one line when a run begins and one when it ends, before the request proceeds.
type runRecorder struct {
	mu     sync.Mutex
	prefix string
	file   *os.File
	log    RunLog
}

func newRunRecorder(id, name string) (l *runRecorder, err error) {
	l = &runRecorder{prefix: fmt.Sprintf("%s-%d", id, time.Now().UnixNano()), log: RunLog{ID: id}}
	if name == "" {
		return l, nil
	}
	if l.file, err = os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err != nil {
		return nil, fmt.Errorf("open run log: %w", err)
	}
	return l, nil
}

// begin adds a run and returns its number.
func (l *runRecorder) begin(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.log.Runs)
	r.ID = fmt.Sprintf("%s-%d", l.prefix, n)
	l.log.Runs = append(l.log.Runs, r)
	l.write(r)
	return n
}

// id returns the id of a run.
func (l *runRecorder) id(n int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.Runs[n].ID
}

// end records how a run ended.
func (l *runRecorder) end(n int, end string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.Runs[n].End = end
	l.write(l.log.Runs[n])
}

// updateCounters calls update with the log while holding the lock.
func (l *runRecorder) updateCounters(update func(*RunLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update(&l.log)
}

func (l *runRecorder) write(r Run) {
	if l.file == nil {
		return
	}
	line, err := json.Marshal(r)
	if err == nil {
		_, err = l.file.Write(append(line, '\n'))
	}
	if err != nil {
		// With an incomplete run log, later checks would miss runs unnoticed.
		panic(fmt.Errorf("write run log: %w", err))
	}
}

func (l *runRecorder) copy() RunLog {
	l.mu.Lock()
	defer l.mu.Unlock()
	log := l.log
	log.Runs = slices.Clone(l.log.Runs)
	return log
}

// ReadRuns reads the runs of a run log file. It ignores an incomplete last line,
// which a killed process leaves behind. It fails when the file cannot be read or
// another line is not valid JSON.
func ReadRuns(name string) (runs []Run, err error) {
	defer runLogErrors.WrapP(&err)
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	known := make(map[string]int) // indexes into runs by run id // indexes into runs by run id
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var r Run
		if err := json.Unmarshal(scanner.Bytes(), &r); err != nil {
			if scanner.Scan() {
				return nil, err
			}
			break
		}
		n, ok := known[r.ID]
		if !ok {
			known[r.ID] = len(runs)
			runs = append(runs, r)
			continue
		}
		runs[n] = r
	}
	return runs, scanner.Err()
}
