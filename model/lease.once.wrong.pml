/* Wrong on purpose: once no placer writes any more and the engine is in the
 * desired state, the sidecar does not read the engine again. The order of its
 * paused predecessor arrives after that, at an engine that ignores fencing
 * tokens.
 * Refuted by: assertion violated (loaded==desired) */
#define ONCE
#include "lease.pml"
