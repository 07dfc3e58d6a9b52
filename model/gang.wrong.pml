/* Wrong on purpose: no order, and a lead that is refused waits with what it
 * holds. Three leads wait for each other in a ring.
 * Refuted by: invalid end state */
#define UNORDERED
#include "gang.pml"
