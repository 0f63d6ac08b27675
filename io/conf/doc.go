// Package conf reads settings and contract files in INI and checks them.
//
// # Usage
//
//	settings, err := conf.ReadSettings("vm1.ini")
//	fleet, err := conf.ReadFleet("fleet.ini")
//
// Every error is a *FileError with the file, the line and the key. Durations are
// written like 80ms, addresses like 127.0.0.1:8080, shares like 0.05.
package conf
