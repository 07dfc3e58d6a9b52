// Package launcher runs one stack of real programs for a scenario: stand-ins,
// entries, and a sidecar beside each backend server, on a loopback address of
// the scenario's own.
//
// # Usage
//
//	s := launcher.New(launcher.Config{Programs: dir, Work: work, Address: "127.9.0.1"})
//	defer s.Close()
//	err := s.Up(launcher.Spec{Entries: 2, Engines: 3, Services: 1})
//	err = s.Signal("sidecar0", syscall.SIGKILL)
//
// Processes are named platform, engineN, serviceN, entryN and sidecarN; the
// sidecars of the services come after those of the engines. Each process may
// be signalled and started again. Close kills what still runs.
package launcher
