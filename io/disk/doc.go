// Package disk owns the data folder: it writes and syncs what the replicated
// log asks for, and reads it back after a start.
//
// # Usage
//
//	s, err := disk.Open(folder, control.Post) // *CorruptError, *LockedError
//	group.Add(s.Run, s.Stop)                  // posts event.DiskLoaded first
//	s.Execute(effect.AppendEntries{N: 1, Entries: entries}) // later event.DiskSynced{N: 1}
//
// # Files
//
// The folder holds four files. "lock" is locked while a process uses the
// folder. "disk" holds the identity and is made last, so that a folder without
// it is not in use yet. "image" is the last snapshot. "log" holds one base
// record, which is the state when the file was made, and then what was written
// since. "disk", "image" and "log" are only replaced whole: a file with the
// ending ".new" is written and synced, renamed, and the folder is synced.
//
// A record is a big-endian header of three 32-bit numbers (length, CRC-32C of
// the length, CRC-32C of the payload) and a msgpack payload. An incomplete last
// record of "log" is what a crash during a write leaves; it was never reported as
// synced, and it is cut off. Any other damage gives a *CorruptError.
package disk
