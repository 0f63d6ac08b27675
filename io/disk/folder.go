package disk

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/vmihailenco/msgpack/v5"

	"comfreypulley/core/model"
	"comfreypulley/io/codec"
)

// Names of the files in a data folder.
const (
	diskFile  = "disk"
	imageFile = "image"
	lockFile  = "lock"
	LogFile   = "log" // appended to until an image replaces it
	newEnding = ".new"
)

// lockFolder makes the folder if need be and takes its lock.
func lockFolder(folder string) (lock *os.File, err error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	lock, err = os.OpenFile(filepath.Join(folder, lockFile), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		lock.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, &LockedError{Folder: folder}
		}
		return nil, err
	}
	return lock, nil
}

// replaceFile replaces a file of the folder by one record and returns it open
// for appending. After a crash the folder has either the old or the new file.
func replaceFile(folder, name string, encode func(*msgpack.Encoder) error) (f *os.File, err error) {
	var b bytes.Buffer
	if err := appendRecord(&b, encode); err != nil {
		return nil, err
	}
	path := filepath.Join(folder, name)
	f, err = os.OpenFile(path+newEnding, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	if _, err = f.Write(b.Bytes()); err != nil {
		return nil, err
	}
	if err = f.Sync(); err != nil {
		return nil, err
	}
	if err = os.Rename(path+newEnding, path); err != nil {
		return nil, err
	}
	return f, syncFolder(folder)
}

// syncFolder makes the names in a folder durable.
func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// readRecord reads a file of one record. It reports false when there is none.
func readRecord(folder, name string, decode func(*msgpack.Decoder) error) (found bool, err error) {
	path := filepath.Join(folder, name)
	b, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	payload, size, ok := nextRecord(b)
	if !ok || size != len(b) {
		return false, &CorruptError{File: path, Problem: "checksum or length does not match"}
	}
	if err := codec.Unmarshal(payload, decode); err != nil {
		return false, &CorruptError{File: path, Problem: err.Error()}
	}
	return true, nil
}

// newIdentity draws the identity of a disk; 0 stands for none.
func newIdentity() model.DiskID {
	for {
		var b [8]byte
		_, _ = rand.Read(b[:]) // ends the process when the system has no randomness
		if id := binary.BigEndian.Uint64(b[:]); id != 0 {
			return model.DiskID(id)
		}
	}
}
