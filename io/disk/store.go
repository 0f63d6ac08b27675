package disk

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/vmihailenco/msgpack/v5"

	"comfreypulley/core/effect"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
	"comfreypulley/io/codec"
)

// Store reads and writes a data folder. It is created by Open.
type Store struct {
	RetryTimeout time.Duration // how long failed writes are retried; set before Run
	Logger       log.Interface // logs when the disk fails and when it works again; may be nil

	folder  string
	post    func(event.Body)
	lock    *os.File
	logFile *os.File
	loaded  event.DiskLoaded // state that Open read, until Run posts it
	storedState

	mu     sync.Mutex
	queue  []effect.Effect
	signal chan struct{} // holds a token while queue is not empty
	stop   chan struct{}
}

// Open locks and reads the folder, which it creates if it does not exist. The
// events go to post. The errors include *CorruptError and *LockedError.
func Open(folder string, post func(event.Body)) (s *Store, err error) {
	defer errorClass.WrapP(&err)
	s = &Store{folder: folder, post: post, signal: make(chan struct{}, 1), stop: make(chan struct{})}
	if s.lock, err = lockFolder(folder); err != nil {
		return nil, err
	}
	if err = s.load(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// Execute queues an effect.AppendEntries, effect.SaveVote, effect.SaveImage or
// effect.SaveFounders without blocking. The results are event.DiskSynced and event.DiskFailed.
func (s *Store) Execute(write effect.Effect) {
	s.mu.Lock()
	s.queue = append(s.queue, write)
	s.mu.Unlock()
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// Run posts event.DiskLoaded and carries out queued writes until Stop. It always
// returns nil; the signature fits a run group.
func (s *Store) Run() error {
	s.run()
	return nil
}

// Stop ends Run. It must be called once, whether Run was called or not.
func (s *Store) Stop(error) {
	close(s.stop)
}

func (s *Store) run() {
	defer s.close()
	s.post(s.loaded)
	s.loaded = event.DiskLoaded{} // the receiver owns its entries from now on
	for {
		select {
		case <-s.stop:
			return
		case <-s.signal:
		}
		if err := s.writeBatch(s.takeQueue()); err != nil {
			s.post(event.DiskFailed{Problem: err.Error()})
			<-s.stop
			return
		}
	}
}

// retry returns nil if err, the error of a write, is nil. Otherwise it calls write
// until that succeeds or RetryTimeout has passed. After a failed sync, the kernel may
// have dropped data that was not written, so that a later successful sync of the same
// file would prove nothing. Therefore write has to replace the file by a new one with
// the whole state.
func (s *Store) retry(err error, write func() error) error {
	if err == nil || s.RetryTimeout <= 0 {
		return err
	}
	start := time.Now()
	end := start.Add(s.RetryTimeout)
	if s.Logger != nil {
		s.Logger.WithError(err).Warn("disk write failed; retrying")
	}
	for err != nil && time.Now().Before(end) {
		timer := time.NewTimer(retryInterval)
		select {
		case <-timer.C:
		case <-s.stop:
			timer.Stop()
			return err
		}
		err = write()
	}
	if s.Logger != nil && err == nil {
		s.Logger.WithField("after", time.Since(start).Round(time.Millisecond).String()).Info("disk works again")
	}
	return err
}

// retryInterval is the time between two attempts of a failed write.
const retryInterval = 200 * time.Millisecond

// takeQueue removes and returns the queued writes.
func (s *Store) takeQueue() []effect.Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.queue
	s.queue = nil
	return batch
}

// writeBatch carries out a batch of writes and posts the result. Entries and votes
// share one sync, except that those ahead of an image are synced before it.
func (s *Store) writeBatch(batch []effect.Effect) (err error) {
	defer errorClass.WrapP(&err)
	var records bytes.Buffer
	var lastSeq uint64
	for _, write := range batch {
		switch w := write.(type) {
		case effect.AppendEntries:
			lastSeq = w.Seq
			if err := s.appendEntries(w.Entries); err != nil {
				return err
			}
		case effect.SaveVote:
			lastSeq, s.term, s.vote = w.Seq, w.Term, w.Vote
		case effect.SaveImage:
			if err := s.syncRecords(&records); err != nil {
				return err
			}
			if err := s.retry(s.saveImage(w), func() error { return s.saveImage(w) }); err != nil {
				return err
			}
			lastSeq = w.Seq
			continue
		case effect.SaveFounders:
			if err := s.retry(s.saveFounders(w), func() error { return s.saveFounders(w) }); err != nil {
				return err
			}
			continue
		}
		if err := appendRecord(&records, func(e *msgpack.Encoder) error { return encodeRecord(e, write) }); err != nil {
			return err
		}
	}
	if err := s.syncRecords(&records); err != nil {
		return err
	}
	if lastSeq > 0 {
		s.post(event.DiskSynced{Seq: lastSeq})
	}
	return nil
}

// syncRecords appends records to the log file and syncs it.
func (s *Store) syncRecords(records *bytes.Buffer) error {
	if records.Len() == 0 {
		return nil
	}
	_, err := s.logFile.Write(records.Bytes())
	records.Reset()
	if err == nil {
		err = s.logFile.Sync()
	}
	return s.retry(err, s.replaceLog)
}

// saveImage replaces the image file and then the log file, which until then still
// holds the entries that the image covers.
func (s *Store) saveImage(w effect.SaveImage) error {
	f, err := replaceFile(s.folder, imageFile, func(e *msgpack.Encoder) error { return codec.EncodeImage(e, w.Image) })
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	s.applyImage(w.Image)
	return s.replaceLog()
}

// saveFounders replaces the file of the VMs that may found the log.
func (s *Store) saveFounders(w effect.SaveFounders) error {
	f, err := replaceFile(s.folder, foundersFile, func(e *msgpack.Encoder) error { return e.Encode(w.VMs) })
	if err != nil {
		return err
	}
	s.founders = w.VMs
	return f.Close()
}

// replaceLog replaces the log file by one with a base record of the current state.
func (s *Store) replaceLog() error {
	f, err := replaceFile(s.folder, LogFile, s.encodeBase)
	if err != nil {
		return err
	}
	if s.logFile != nil {
		s.logFile.Close()
	}
	s.logFile = f
	return nil
}

// load reads the folder and completes what a crash interrupted.
func (s *Store) load() error {
	for _, name := range []string{diskFile, foundersFile, imageFile, LogFile} {
		if err := os.Remove(filepath.Join(s.folder, name+newSuffix)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	var id model.DiskID
	hasDisk, err := readRecord(s.folder, diskFile, func(d *msgpack.Decoder) error { return d.Decode(&id) })
	if err != nil {
		return err
	}
	if _, err = readRecord(s.folder, foundersFile, func(d *msgpack.Decoder) error { return d.Decode(&s.founders) }); err != nil {
		return err
	}
	hasImage, err := readRecord(s.folder, imageFile, func(d *msgpack.Decoder) (err error) {
		s.image, err = codec.DecodeImage(d)
		return err
	})
	if err != nil {
		return err
	}
	path := filepath.Join(s.folder, LogFile)
	b, err := os.ReadFile(path)
	hasLog := err == nil
	switch {
	case err != nil && !errors.Is(err, fs.ErrNotExist):
		return err
	case hasDisk && !hasLog:
		return &CorruptError{File: path, Problem: "the file is missing"}
	case !hasDisk:
		return s.createFiles(b, hasImage)
	}
	image := s.image
	size, err := s.replay(path, b)
	if err != nil {
		return err
	}
	if s.startIndex > image.Index {
		return &CorruptError{
			File: filepath.Join(s.folder, imageFile), Problem: fmt.Sprintf("the image up to index %d is missing", s.startIndex),
		}
	}
	if s.startIndex < image.Index {
		// A crash interrupted saveImage between the image file and the log file.
		s.applyImage(image)
		err = s.replaceLog()
	} else {
		err = s.openLog(path, size)
	}
	s.loaded = s.storedState.loaded(id, false)
	return err
}

// createFiles creates the files of a folder without a disk id. If a crash interrupted
// an earlier start, the log file may exist already, but without any write.
func (s *Store) createFiles(log []byte, written bool) error {
	path := filepath.Join(s.folder, diskFile)
	if len(log) > 0 {
		size, err := s.replay(LogFile, log)
		if err != nil {
			return err
		}
		written = written || s.term > 0 || size != int64(len(log)) || len(s.entries) > 0
	}
	if written {
		return &CorruptError{File: path, Problem: "the identity is missing beside a log that was written"}
	}
	if err := s.replaceLog(); err != nil {
		return err
	}
	id := newDiskID()
	f, err := replaceFile(s.folder, diskFile, func(e *msgpack.Encoder) error { return e.Encode(id) })
	if err != nil {
		return err
	}
	s.loaded = s.storedState.loaded(id, true)
	if err := f.Close(); err != nil {
		return err
	}
	// The folder may have been created in its parent by lockFolder.
	return syncFolder(filepath.Dir(s.folder))
}

// openLog opens the log file for appending and truncates it to size, which cuts off
// an incomplete last record.
func (s *Store) openLog(path string, size int64) (err error) {
	if s.logFile, err = os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return err
	}
	if err = s.logFile.Truncate(size); err != nil {
		return err
	}
	return s.logFile.Sync()
}

// close releases the files and the lock.
func (s *Store) close() {
	if s.logFile != nil {
		s.logFile.Close()
	}
	s.lock.Close()
}
