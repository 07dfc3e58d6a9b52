/* Wrong on purpose: the caller gets "not run" at its deadline, whatever phase
 * the attempt is in (6 is sent).
 * Refuted by: assertion violated (phase[2]!=6) */
#define DENY
#include "once.pml"
