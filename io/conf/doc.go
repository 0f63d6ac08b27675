// Package conf reads and writes INI files: the settings of a VM, the first
// configuration of a fleet, and contracts.
//
// # Usage
//
//	settings, err := conf.ReadSettings("vm1.ini")
//	fleet, err := conf.ReadFleet("fleet.ini")
//
// An invalid file gives a *FileError with the file, the line and the key. Durations
// have the form 80ms, addresses 127.0.0.1:8080, and fractions 0.05.
package conf
