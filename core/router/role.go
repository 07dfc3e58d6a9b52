package router

import "bamboohill/core/watcher"

// Roles of a backend server, as reported by its engine. Any other value means
// no role. A role is a preference: a server whose role does not match a prompt
// ranks behind all others but is not excluded.
const (
	RoleLong  = "long"  // short prompts are placed here only if no other server can take them
	RoleShort = "brief" // long prompts are placed here only if no other server can take them
)

// suits reports whether a server's role matches a class of prompts.
func suits(server *watcher.Server, c class) bool {
	switch server.GetRole() {
	case RoleLong:
		return c != short
	case RoleShort:
		return c != long
	}
	return true
}
