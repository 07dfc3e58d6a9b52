/* Wrong on purpose: leaders reserve in any order, and one that can't reserve an
 * engine waits while it holds others. Three leaders deadlock in a cycle.
 * Refuted by: invalid end state */
#define UNORDERED
#include "gang.pml"
