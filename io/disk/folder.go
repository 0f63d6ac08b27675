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
	diskFile     = "disk"
	foundersFile = "founders"
	imageFile    = "image"
	lockFile     = "lock"
	LogFile      = "log"
	newSuffix    = ".new" // of a file that will replace the one without the suffix
)

// lockFolder creates the folder if it does not exist, and locks it.
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

// replaceFile replaces a file of the folder by one that holds one record, and
// returns it open for appending. After a crash, the folder holds either the old or
// the new file.
func replaceFile(folder, name string, encode func(*msgpack.Encoder) error) (f *os.File, err error) {
	var b bytes.Buffer
	if err := appendRecord(&b, encode); err != nil {
		return nil, err
	}
	path := filepath.Join(folder, name)
	f, err = os.OpenFile(path+newSuffix, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
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
	if err = os.Rename(path+newSuffix, path); err != nil {
		return nil, err
	}
	return f, syncFolder(folder)
}

// syncFolder syncs the file names in a folder to disk.
func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// readRecord reads a file that holds one record. It reports false when the file
// does not exist.
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

// newDiskID returns a random disk id other than 0, which means no disk.
func newDiskID() model.DiskID {
	for {
		var b [8]byte
		_, _ = rand.Read(b[:]) // never fails: it ends the process when the system cannot provide randomness
		if id := binary.BigEndian.Uint64(b[:]); id != 0 {
			return model.DiskID(id)
		}
	}
}
