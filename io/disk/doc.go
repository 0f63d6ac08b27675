// Package disk stores a VM's part of the replicated log in the data folder. It
// carries out the reducer's write effects, and reads the folder after a start.
//
// # Usage
//
//	s, err := disk.Open(folder, control.Post) // errors include *CorruptError and *LockedError
//	group.Add(s.Run, s.Stop)                  // posts event.DiskLoaded first
//	s.Execute(effect.AppendEntries{Seq: 1, Entries: entries}) // later event.DiskSynced{Seq: 1}
//
// # Files
//
// The folder holds up to five files. "lock" is locked while a process uses the folder.
// "disk" holds the disk's id; it is created last, so that a folder without it has
// not been set up completely. "image" holds the last image. "log" begins with a base
// record, which holds the state at the time when the file was created, and continues
// with the writes since then. "founders" names the VMs that may found the log; it is
// there if this VM is one of them, and builds without it ignore it. "disk", "founders"
// and "image" are only replaced as a whole, and "log" is appended to or replaced as a whole: a file with the suffix ".new" is
// written, synced and renamed, and then the folder is synced.
//
// A record is a big-endian header of three 32-bit numbers (length, CRC-32C of the
// length, CRC-32C of the payload) and a msgpack payload. A crash during a write can
// leave an incomplete last record in "log". It was never reported as synced, so it
// is cut off at the next start. Any other damage gives a *CorruptError.
package disk
