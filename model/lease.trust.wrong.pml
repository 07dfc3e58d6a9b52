/* Wrong on purpose: the sidecar does not read the engine again after it was as
 * wanted. An order of its paused predecessor lands later. */
#define TRUST
#include "lease.pml"
