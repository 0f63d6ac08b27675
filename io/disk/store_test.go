package disk

import (
	"errors"
	"flag"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"pgregory.net/rapid"

	"comfreypulley/core/effect"
	"comfreypulley/core/entry"
	"comfreypulley/core/event"
	"comfreypulley/core/model"
)

// TestMain sets a default seed, so that every run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// testEntries returns the entries with the indexes from and to and those between.
func testEntries(from, to, term uint64) []entry.Entry {
	var entries []entry.Entry
	for i := from; i <= to; i++ {
		claim := entry.Claim{Customer: "acme", Key: model.Key{byte(i), byte(term)}, Retention: time.Hour}
		entries = append(entries, entry.Entry{Index: i, Term: term, At: time.Unix(int64(i), 0).UTC(), Command: claim})
	}
	return entries
}

var testVote = effect.SaveVote{Term: 3, Vote: entry.Replica{VM: "vm1", Disk: 9}}

// writeAndReopen carries out writes in a folder and returns what the next start
// reads.
func writeAndReopen(t rapid.TB, folder string, writes ...effect.Effect) event.DiskLoaded {
	t.Helper()
	s, err := Open(folder, func(event.Body) {})
	if err != nil {
		t.Fatal(err)
	}
	if err := s.writeBatch(writes); err != nil {
		t.Fatal(err)
	}
	s.close()
	if s, err = Open(folder, nil); err != nil {
		t.Fatal(err)
	}
	s.close()
	return s.loaded
}

// Guards against a start that reads a state other than the one synced. It
// compares random writes with a model that says what each write does.
func TestWrites(t *testing.T) {
	root := t.TempDir()
	n := 0
	rapid.Check(t, func(t *rapid.T) {
		n++
		folder := filepath.Join(root, strconv.Itoa(n))
		want := writeAndReopen(t, folder)
		want.Created = false
		for range rapid.IntRange(1, 8).Draw(t, "starts") {
			var writes []effect.Effect
			for range rapid.IntRange(0, 6).Draw(t, "writes") {
				last := want.Image.Index + uint64(len(want.Entries))
				term := rapid.Uint64Range(1, 9).Draw(t, "term")
				switch rapid.IntRange(0, 3).Draw(t, "kind") {
				case 0:
					want.Term, want.Vote = term, entry.Replica{VM: "vm1", Disk: model.DiskID(term)}
					writes = append(writes, effect.SaveVote{Term: term, Vote: want.Vote})
				case 1:
					index := rapid.Uint64Range(want.Image.Index+1, last+3).Draw(t, "image")
					image := entry.Image{Index: index, Term: term}
					keep := index - want.Image.Index
					if keep <= uint64(len(want.Entries)) && want.Entries[keep-1].Term == term {
						want.Entries = want.Entries[keep:]
					} else {
						want.Entries = nil
					}
					want.Image = image
					writes = append(writes, effect.SaveImage{Image: image})
				default:
					first := rapid.Uint64Range(want.Image.Index+1, last+1).Draw(t, "first")
					added := testEntries(first, first+rapid.Uint64Range(0, 4).Draw(t, "more"), term)
					kept := want.Entries[:first-want.Image.Index-1]
					want.Entries = append(append([]entry.Entry(nil), kept...), added...)
					writes = append(writes, effect.AppendEntries{Entries: added})
				}
			}
			got := writeAndReopen(t, folder, writes...)
			if len(got.Entries) == 0 && len(want.Entries) == 0 {
				got.Entries = want.Entries
			}
			got.Image.At = want.Image.At
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("got %+v, want %+v", got, want)
			}
		}
	})
}

// Guards against a crash during a write after which the VM cannot
// start, or which leaves a partial record in the log.
func TestTornTail(t *testing.T) {
	folder := t.TempDir()
	writeAndReopen(t, folder)
	path := filepath.Join(folder, LogFile)
	base, _ := os.Stat(path)
	writeAndReopen(t, folder, effect.AppendEntries{Entries: testEntries(1, 2, 1)})
	first, _ := os.Stat(path)
	writeAndReopen(t, folder, effect.AppendEntries{Entries: testEntries(3, 3, 2)}, testVote)
	complete, _ := os.ReadFile(path)
	for n := base.Size(); n < int64(len(complete)); n++ {
		writeFile(t, path, complete[:n])
		got := writeAndReopen(t, folder)
		want := 0
		if n >= first.Size() {
			want = 2
		}
		if len(got.Entries) == 3 && n > first.Size() {
			want = 3 // only the record of the vote is incomplete
		}
		if len(got.Entries) != want || got.Term != 0 {
			t.Errorf("cut to %d bytes: %d entries and term %d, want %d and 0", n, len(got.Entries), got.Term, want)
		}
		if got := writeAndReopen(t, folder, effect.AppendEntries{Entries: testEntries(uint64(want)+1, 9, 4)}); len(got.Entries) != 9 {
			t.Errorf("cut to %d bytes: %d entries after writing more, want 9", n, len(got.Entries))
		}
	}
}

// Guards against a CorruptError for a last record of which a crash left only
// some sectors.
func TestUnwrittenSector(t *testing.T) {
	folder := t.TempDir()
	writeAndReopen(t, folder, effect.AppendEntries{Entries: testEntries(1, 2, 1)})
	path := filepath.Join(folder, LogFile)
	before, _ := os.Stat(path)
	writeAndReopen(t, folder, effect.AppendEntries{Entries: testEntries(3, 60, 1)})
	complete, _ := os.ReadFile(path)
	for offset := (before.Size()/sectorSize + 1) * sectorSize; offset+sectorSize <= int64(len(complete)); offset += sectorSize {
		damaged := append([]byte(nil), complete...)
		clear(damaged[offset : offset+sectorSize])
		writeFile(t, path, damaged)
		if got := len(writeAndReopen(t, folder).Entries); got != 2 {
			t.Errorf("sector at byte %d not written: %d entries, want 2", offset, got)
		}
	}
}

// Guards against a changed byte, anywhere in any file, or a missing
// file that a start does not detect.
func TestCorruption(t *testing.T) {
	folder := t.TempDir()
	writeAndReopen(t, folder, effect.AppendEntries{Entries: testEntries(1, 4, 1)}, effect.SaveImage{Image: entry.Image{Index: 2, Term: 1}},
		effect.AppendEntries{Entries: testEntries(5, 6, 2)}, testVote, effect.AppendEntries{Entries: testEntries(7, 7, 3)})
	for _, name := range []string{diskFile, imageFile, LogFile} {
		path := filepath.Join(folder, name)
		undamaged, _ := os.ReadFile(path)
		for i := range undamaged {
			for _, flip := range []byte{0x01, 0x80, 0xff} {
				damaged := append([]byte(nil), undamaged...)
				damaged[i] ^= flip
				writeFile(t, path, damaged)
				var want *CorruptError
				if s, err := Open(folder, nil); !errors.As(err, &want) {
					t.Errorf("%s with byte %d changed by %#x: got %v, want a CorruptError", name, i, flip, err)
					s.close()
				}
			}
		}
		if name != diskFile {
			_ = os.Remove(path)
			var want *CorruptError
			if _, err := Open(folder, nil); !errors.As(err, &want) {
				t.Errorf("%s removed: got %v, want a CorruptError", name, err)
			}
		}
		writeFile(t, path, undamaged)
	}
	if got := len(writeAndReopen(t, folder).Entries); got != 5 {
		t.Errorf("%d entries in the undamaged folder, want 5", got)
	}
}

// Guards against a disk that loses its id file, is given a new id and then
// votes a second time in the same term.
func TestLostIdentity(t *testing.T) {
	folder := t.TempDir()
	writeAndReopen(t, folder, testVote)
	_ = os.Remove(filepath.Join(folder, diskFile))
	var want *CorruptError
	if _, err := Open(folder, nil); !errors.As(err, &want) {
		t.Errorf("got %v, want a CorruptError", err)
	}
}

// Guards against a crash between the steps of saving an image that loses
// entries or restores entries that the image replaced.
func TestInterruptedSave(t *testing.T) {
	for name, image := range map[string]entry.Image{
		"own":     {Index: 3, Term: 1},
		"leader":  {Index: 9, Term: 5},
		"another": {Index: 3, Term: 2},
	} {
		folder := t.TempDir()
		before := writeAndReopen(t, folder, effect.AppendEntries{Entries: testEntries(1, 5, 1)}, testVote)
		imagePath, logPath := filepath.Join(folder, imageFile), filepath.Join(folder, LogFile)
		oldLog, _ := os.ReadFile(logPath)
		after := writeAndReopen(t, folder, effect.SaveImage{Image: image})
		newImage, _ := os.ReadFile(imagePath)
		newLog, _ := os.ReadFile(logPath)
		for n := range newImage {
			_ = os.Remove(imagePath)
			writeFile(t, logPath, oldLog)
			writeFile(t, imagePath+newSuffix, newImage[:n])
			if got := writeAndReopen(t, folder); !reflect.DeepEqual(got, before) {
				t.Fatalf("%s: crash after %d bytes of the image: got %+v, want %+v", name, n, got, before)
			}
		}
		for n := range newLog {
			writeFile(t, imagePath, newImage)
			writeFile(t, logPath, oldLog)
			writeFile(t, logPath+newSuffix, newLog[:n])
			if got := writeAndReopen(t, folder); !reflect.DeepEqual(got, after) {
				t.Fatalf("%s: crash after %d bytes of the log: got %+v, want %+v", name, n, got, after)
			}
		}
	}
}

// Guards against a folder that cannot be used after a crash during its
// creation.
func TestInterruptedFirstUse(t *testing.T) {
	folder := t.TempDir()
	writeAndReopen(t, folder)
	_ = os.Remove(filepath.Join(folder, diskFile))
	writeFile(t, filepath.Join(folder, diskFile+newSuffix), []byte{1})
	s, err := Open(folder, nil)
	if err != nil {
		t.Fatal(err)
	}
	s.close()
	if !s.loaded.Created || s.loaded.Disk == 0 {
		t.Errorf("got %+v, want a newly created folder", s.loaded)
	}
}

// Guards against two processes that write to the same folder.
func TestLock(t *testing.T) {
	folder := t.TempDir()
	s, err := Open(folder, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer s.close()
	var want *LockedError
	if _, err := Open(folder, nil); !errors.As(err, &want) {
		t.Errorf("got %v, want a LockedError", err)
	}
}

// Guards against a separate sync for each queued write, and against a
// result that is posted before the earlier writes are synced.
func TestBatch(t *testing.T) {
	posted := make(chan event.Body, 8)
	s, err := Open(t.TempDir(), func(b event.Body) { posted <- b })
	if err != nil {
		t.Fatal(err)
	}
	for i := range uint64(100) {
		s.Execute(effect.AppendEntries{Seq: i + 1, Entries: testEntries(i+1, i+1, 1)})
	}
	done := make(chan error)
	go func() { done <- s.Run() }()
	if got, ok := (<-posted).(event.DiskLoaded); !ok || !got.Created {
		t.Errorf("first event is %+v, want event.DiskLoaded of a newly created folder", got)
	}
	if got, want := <-posted, (event.DiskSynced{Seq: 100}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	s.Stop(nil)
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// Guards against a store that continues after a failed write.
func TestFailure(t *testing.T) {
	posted := make(chan event.Body, 8)
	s, err := Open(t.TempDir(), func(b event.Body) { posted <- b })
	if err != nil {
		t.Fatal(err)
	}
	s.logFile.Close()
	done := make(chan error)
	go func() { done <- s.Run() }()
	<-posted
	s.Execute(testVote)
	if got, ok := (<-posted).(event.DiskFailed); !ok || got.Problem == "" {
		t.Errorf("got %+v, want event.DiskFailed with a problem", got)
	}
	s.Execute(testVote)
	s.Stop(nil)
	if err := <-done; err != nil {
		t.Error(err)
	}
	if len(posted) > 0 {
		t.Errorf("got %+v after the failure, want nothing", <-posted)
	}
}

// Guards against a replica that is lost permanently when its disk fails for a
// while, and against reporting a write as synced that a failed sync has lost.
func TestRetryAfterFailure(t *testing.T) {
	posted := make(chan event.Body, 8)
	folder := t.TempDir()
	s, err := Open(folder, func(b event.Body) { posted <- b })
	if err != nil {
		t.Fatal(err)
	}
	logged := memory.New()
	s.RetryTimeout, s.Logger = time.Minute, &log.Logger{Handler: logged, Level: log.InfoLevel}
	s.logFile.Close()
	done := make(chan error)
	go func() { done <- s.Run() }()
	<-posted
	vote := effect.SaveVote{Seq: 4, Term: 3, Vote: testVote.Vote}
	s.Execute(vote)
	if got, want := <-posted, (event.DiskSynced{Seq: vote.Seq}); got != want {
		t.Fatalf("got %+v, want %+v after the disk works again", got, want)
	}
	s.Stop(nil)
	if err := <-done; err != nil {
		t.Error(err)
	}
	reopened, err := Open(folder, func(b event.Body) { posted <- b })
	if err != nil {
		t.Fatal(err)
	}
	defer reopened.close()
	if len(logged.Entries) != 2 || logged.Entries[0].Level != log.WarnLevel || logged.Entries[1].Message != "disk works again" {
		t.Errorf("got log lines %+v, want one when the disk fails and one when it works again", logged.Entries)
	}
	if got := reopened.loaded.Term; got != vote.Term {
		t.Errorf("got term %d after a restart, want %d", got, vote.Term)
	}
}

func writeFile(t rapid.TB, path string, b []byte) {
	t.Helper()
	if err := os.WriteFile(path, b, 0o600); err != nil {
		t.Fatal(err)
	}
}

// Guards against a right to found the log that ends with the process or with an image, that
// is read from a damaged file, or that a new disk has.
func TestFoundersLastAsLongAsTheDisk(t *testing.T) {
	folder := t.TempDir()
	want := []model.VM{{ID: "10.0.0.1", Zone: "a", PeerAddr: netip.MustParseAddrPort("10.0.0.1:7740"), HasDisk: true}, {ID: "10.0.0.2"}}
	if got := writeAndReopen(t, folder, effect.SaveFounders{VMs: want}, testVote); !reflect.DeepEqual(got.Founders, want) || got.Term != testVote.Term {
		t.Fatalf("got founders %+v and term %d, want %+v and %d", got.Founders, got.Term, want, testVote.Term)
	}
	got := writeAndReopen(t, folder, effect.AppendEntries{Entries: testEntries(1, 2, 3)}, effect.SaveImage{Image: entry.Image{Index: 1, Term: 3}})
	if !reflect.DeepEqual(got.Founders, want) || got.Image.Index != 1 {
		t.Errorf("got founders %+v after an image, want %+v", got.Founders, want)
	}
	path := filepath.Join(folder, foundersFile)
	undamaged, _ := os.ReadFile(path)
	for i := range undamaged {
		damaged := append([]byte(nil), undamaged...)
		damaged[i] ^= 0x01
		writeFile(t, path, damaged)
		var corrupt *CorruptError
		if s, err := Open(folder, nil); !errors.As(err, &corrupt) {
			t.Errorf("byte %d changed: got %v, want a CorruptError", i, err)
			s.close()
		}
	}
	if got := writeAndReopen(t, t.TempDir()); len(got.Founders) != 0 {
		t.Errorf("got founders %+v on a new disk, want none", got.Founders)
	}
}
