package router

import "bamboohill/core/watcher"

// Roles of a backend server, as its engine reports them. Any other text is no
// role. A role is a preference: a server whose role does not suit a prompt is
// behind all others but not ruled out.
const (
	RoleLong  = "long"  // short prompts go elsewhere while another server can take them
	RoleShort = "brief" // long prompts go elsewhere while another server can take them
)

// suits reports whether a server's role admits a class of prompts.
func suits(server *watcher.Server, c class) bool {
	switch server.GetRole() {
	case RoleLong:
		return c != brief
	case RoleShort:
		return c != long
	}
	return true
}
