// Package serve assembles an entry VM: its loops, its front ends and its orderly
// shutdown.
//
// # Usage
//
//	vm, err := serve.New(settings, fleet, logger)
//	err = vm.Run(ctx) // until ctx ends and everything in flight has been answered
//
// The group of actors stops together: when one ends, all end.
package serve
