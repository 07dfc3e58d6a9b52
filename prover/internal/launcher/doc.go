// Package launcher starts the real programs for a scenario: stand-ins, entries,
// and a sidecar for each backend server. Each scenario has a loopback address of
// its own.
//
// # Usage
//
//	s := launcher.New(launcher.Config{Programs: dir, Work: work, Address: "127.9.0.1"})
//	defer s.Close()
//	err := s.Up(launcher.Spec{Entries: 2, Engines: 3, Services: 1})
//	err = s.Signal("sidecar0", syscall.SIGKILL)
//
// Processes are named platform, runs, balancer, engineN, serviceN, entryN,
// sidecarN and spareN; the sidecars of the services are numbered after those of
// the engines. Each process can be signalled and started again. Close kills the
// processes that still run.
package launcher
