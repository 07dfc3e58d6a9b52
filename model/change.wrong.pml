/* Wrong on purpose: a process starts from a single peer, which may be stale. */
#define NEED 1
#include "change.pml"
