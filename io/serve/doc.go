// Package serve assembles the process of a VM: its loops, servers and clients,
// and a graceful shutdown. A [VM] reads its settings from files, a [PlatformVM]
// from the platform that it runs on.
//
// # Usage
//
//	vm, err := serve.New(settings, fleet, logger)
//	err = vm.Run(ctx) // returns after ctx is done and the requests in flight are answered
//
// The loops and servers run as actors of a run.Group: when one returns, all are
// stopped.
package serve
