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

// logErrors annotates errors.
var logErrors = errs.Class("run log")

// Ends of a run.
const (
	EndCancelled = "cancelled"
	EndCrashed   = "crashed"
	EndFinished  = "finished"
)

// Run is one request that a stand-in began to run.
type Run struct {
	ID      string    `json:"id"` // unique across stand-ins and restarts
	At      time.Time `json:"at"`
	Request string    `json:"request"`
	Attempt string    `json:"attempt"`
	Key     string    `json:"key"`
	Index   string    `json:"index"`
	Version uint64    `json:"version"`
	Shards  int       `json:"shards"`
	Shard   int       `json:"shard"`
	End     string    `json:"end"` // empty while it runs
}

// Log is what a stand-in did since its process started.
type Log struct {
	ID       string `json:"id"`
	Attempts int    `json:"attempts"` // shard requests that reached it, run or not
	Shed     int    `json:"shed"`
	Crashes  int    `json:"crashes"`
	Refused  int    `json:"refused"` // connections above the cap
	Runs     []Run  `json:"runs"`
}

// runlog is a run log in memory and, with a file, on disk. Each begin and each
// end of a run is one line, written before the run goes on.
type runlog struct {
	mu     sync.Mutex
	prefix string
	file   *os.File
	log    Log
}

func openRunlog(id, name string) (l *runlog, err error) {
	l = &runlog{prefix: fmt.Sprintf("%s-%d", id, time.Now().UnixNano()), log: Log{ID: id}}
	if name == "" {
		return l, nil
	}
	if l.file, err = os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600); err != nil {
		return nil, fmt.Errorf("run log: %w", err)
	}
	return l, nil
}

// begin adds a run and returns its number.
func (l *runlog) begin(r Run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.log.Runs)
	r.ID = fmt.Sprintf("%s-%d", l.prefix, n)
	l.log.Runs = append(l.log.Runs, r)
	l.write(r)
	return n
}

// id returns the id of a run.
func (l *runlog) id(n int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.Runs[n].ID
}

// end records how a run ended.
func (l *runlog) end(n int, end string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.Runs[n].End = end
	l.write(l.log.Runs[n])
}

// count changes the counters.
func (l *runlog) count(add func(*Log)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add(&l.log)
}

func (l *runlog) write(r Run) {
	if l.file == nil {
		return
	}
	line, err := json.Marshal(r)
	if err == nil {
		_, err = l.file.Write(append(line, '\n'))
	}
	if err != nil {
		// A check against an incomplete run log would be wrong without notice.
		panic(fmt.Errorf("run log: %w", err))
	}
}

func (l *runlog) copy() Log {
	l.mu.Lock()
	defer l.mu.Unlock()
	log := l.log
	log.Runs = slices.Clone(l.log.Runs)
	return log
}

// ReadRuns reads the runs of a run log file. A last line that a kill cut short
// is left out. Sources of errors are the file and its JSON lines.
func ReadRuns(name string) (runs []Run, err error) {
	defer logErrors.WrapP(&err)
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	known := make(map[string]int)
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
