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

// Store owns a data folder. Open makes it.
type Store struct {
	Patience time.Duration // how long a failing disk is tried again; set before Run
	Logger   log.Interface // of a disk that fails and works again; nil writes nothing

	folder string
	post   func(event.Body)
	lock   *os.File
	log    *os.File
	loaded event.DiskLoaded
	content

	mu     sync.Mutex
	queue  []effect.Effect
	signal chan struct{} // holds a token while queue is not empty
	stop   chan struct{}
}

// Open locks the folder, making it on first use, and reads it. The errors
// include *CorruptError and *LockedError.
func Open(folder string, post func(event.Body)) (s *Store, err error) {
	defer class.WrapP(&err)
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

// Execute hands an append, vote or save to the store. It does not block. The
// results are event.DiskSynced and event.DiskFailed.
func (s *Store) Execute(write effect.Effect) {
	s.mu.Lock()
	s.queue = append(s.queue, write)
	s.mu.Unlock()
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// Run posts event.DiskLoaded and carries out writes until Stop. It fits a run group.
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
	s.loaded = event.DiskLoaded{} // its entries are the log's from now on
	for {
		select {
		case <-s.stop:
			return
		case <-s.signal:
		}
		if err := s.write(s.take()); err != nil {
			s.post(event.DiskFailed{Problem: err.Error()})
			<-s.stop
			return
		}
	}
}

// again repeats a write that failed until it succeeds or the patience ends.
// After a failed sync the kernel may have dropped what was not written, so that
// a later sync of the same file that succeeds would prove nothing: a new file
// with the whole state takes its place.
func (s *Store) again(problem error, write func() error) error {
	if problem == nil || s.Patience <= 0 {
		return problem
	}
	began := time.Now()
	end := began.Add(s.Patience)
	if s.Logger != nil {
		s.Logger.WithError(problem).Warn("disk fails; writes are tried again")
	}
	for problem != nil && time.Now().Before(end) {
		timer := time.NewTimer(retryPause)
		select {
		case <-timer.C:
		case <-s.stop:
			timer.Stop()
			return problem
		}
		problem = write()
	}
	if s.Logger != nil && problem == nil {
		s.Logger.WithField("after", time.Since(began).Round(time.Millisecond).String()).Info("disk works again")
	}
	return problem
}

// retryPause is the time between two tries of a write that failed.
const retryPause = 200 * time.Millisecond

func (s *Store) take() []effect.Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.queue
	s.queue = nil
	return batch
}

// write carries out a batch with one sync for its appends and votes, or one
// between two saves, and reports the result.
func (s *Store) write(batch []effect.Effect) (err error) {
	defer class.WrapP(&err)
	var records bytes.Buffer
	var last uint64
	for _, write := range batch {
		switch w := write.(type) {
		case effect.AppendEntries:
			last = w.Seq
			if err := s.add(w.Entries); err != nil {
				return err
			}
		case effect.SaveVote:
			last, s.term, s.vote = w.Seq, w.Term, w.Vote
		case effect.SaveImage:
			if err := s.sync(&records); err != nil {
				return err
			}
			if err := s.again(s.save(w), func() error { return s.save(w) }); err != nil {
				return err
			}
			last = w.Seq
			continue
		}
		if err := appendRecord(&records, func(e *msgpack.Encoder) error { return encode(e, write) }); err != nil {
			return err
		}
	}
	if err := s.sync(&records); err != nil {
		return err
	}
	if last > 0 {
		s.post(event.DiskSynced{Seq: last})
	}
	return nil
}

// sync makes records durable.
func (s *Store) sync(records *bytes.Buffer) error {
	if records.Len() == 0 {
		return nil
	}
	_, err := s.log.Write(records.Bytes())
	records.Reset()
	if err == nil {
		err = s.log.Sync()
	}
	return s.again(err, s.renew)
}

// save replaces the image and then the log file, which holds entries that the
// image covers until then.
func (s *Store) save(w effect.SaveImage) error {
	f, err := replaceFile(s.folder, imageFile, func(e *msgpack.Encoder) error { return codec.EncodeImage(e, w.Image) })
	if err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	s.cover(w.Image)
	return s.renew()
}

// renew replaces the log file by one that begins with the present state.
func (s *Store) renew() error {
	f, err := replaceFile(s.folder, LogFile, s.encodeBase)
	if err != nil {
		return err
	}
	if s.log != nil {
		s.log.Close()
	}
	s.log = f
	return nil
}

// load reads the folder and ends what a crash interrupted.
func (s *Store) load() error {
	for _, name := range []string{diskFile, imageFile, LogFile} {
		if err := os.Remove(filepath.Join(s.folder, name+newEnding)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
	}
	var id model.DiskID
	used, err := readRecord(s.folder, diskFile, func(d *msgpack.Decoder) error { return d.Decode(&id) })
	if err != nil {
		return err
	}
	imaged, err := readRecord(s.folder, imageFile, func(d *msgpack.Decoder) (err error) {
		s.image, err = codec.DecodeImage(d)
		return err
	})
	if err != nil {
		return err
	}
	path := filepath.Join(s.folder, LogFile)
	b, err := os.ReadFile(path)
	logged := err == nil
	switch {
	case err != nil && !errors.Is(err, fs.ErrNotExist):
		return err
	case used && !logged:
		return &CorruptError{File: path, Problem: "the file is missing"}
	case !used:
		return s.found(b, imaged)
	}
	image := s.image
	size, err := s.replay(path, b)
	if err != nil {
		return err
	}
	if s.start > image.Index {
		return &CorruptError{
			File: filepath.Join(s.folder, imageFile), Problem: fmt.Sprintf("the image up to %d is missing", s.start),
		}
	}
	if s.start < image.Index {
		// A save was interrupted between the image and the log file.
		s.cover(image)
		err = s.renew()
	} else {
		err = s.open(path, size)
	}
	s.loaded = s.content.loaded(id, false)
	return err
}

// found makes the files of a folder that is not in use yet. The log file may be
// there already, without a write.
func (s *Store) found(log []byte, imaged bool) error {
	path := filepath.Join(s.folder, diskFile)
	if len(log) > 0 {
		size, err := s.replay(LogFile, log)
		if err != nil {
			return err
		}
		imaged = imaged || s.term > 0 || size != int64(len(log)) || len(s.entries) > 0
	}
	if imaged {
		return &CorruptError{File: path, Problem: "the identity is missing beside a log that was written"}
	}
	if err := s.renew(); err != nil {
		return err
	}
	id := newIdentity()
	f, err := replaceFile(s.folder, diskFile, func(e *msgpack.Encoder) error { return e.Encode(id) })
	if err != nil {
		return err
	}
	s.loaded = s.content.loaded(id, true)
	if err := f.Close(); err != nil {
		return err
	}
	// The folder itself is new in its parent.
	return syncFolder(filepath.Dir(s.folder))
}

// open opens the log file for appending and cuts off a torn record.
func (s *Store) open(path string, size int64) (err error) {
	if s.log, err = os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return err
	}
	if err = s.log.Truncate(size); err != nil {
		return err
	}
	return s.log.Sync()
}

// close releases the files and the lock.
func (s *Store) close() {
	if s.log != nil {
		s.log.Close()
	}
	s.lock.Close()
}
