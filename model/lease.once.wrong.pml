/* Wrong on purpose: once no placer writes any more and the engine is as wanted,
 * the sidecar does not read the engine again. The order of its paused
 * predecessor lands after that, on an engine that ignores numbers.
 * Refuted by: assertion violated (have==want) */
#define ONCE
#include "lease.pml"
